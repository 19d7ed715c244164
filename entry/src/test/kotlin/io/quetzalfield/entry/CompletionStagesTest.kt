package io.quetzalfield.entry

import arrow.core.right
import io.quetzalfield.decision.AcceptanceGate
import io.quetzalfield.decision.Route
import io.quetzalfield.decision.RouteChooser
import io.quetzalfield.model.MayHaveRun
import io.quetzalfield.standins.RunnerFaults
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull

private const val QUESTION = "How tight is the screw"
private val LIKELY = RunnerFaults(logProbability = -0.01)
private val UNLIKELY = RunnerFaults(logProbability = -3.0)

class CompletionStagesTest {
    private val gate = AcceptanceGate(minimumScore = 0.5, tokens = 8)
    private val twoStages = RouteChooser { _, _, _ -> Route(listOf(OLD, NEW), emptyList(), gate).right() }
    private val fleet = EmbeddedFleet(runnerCount = 1, routeChooser = twoStages)

    @AfterEach
    fun stop() {
        fleet.close()
    }

    private fun versionsRun(): List<String> = fleet.runners.flatMap { it.receivedRequests() }.map { it.model }

    @Nested
    inner class Acceptance {
        @Test
        fun `an answer that passes its gate is the first stage's, whole and in order`() {
            fleet.setFaults(LIKELY)
            for (tokens in listOf(3, 8, 20)) {
                val seen = fleet.ask(QUESTION, tokens)
                assertEquals(OLD, assertNotNull(seen.result.getOrNull()).version)
                assertEquals(wholeAnswer(QUESTION, tokens), seen.text)
            }
            assertEquals(List(3) { "$OLD" }, versionsRun())
        }

        @Test
        fun `the caller sees nothing of an answer that does not pass`() {
            fleet.setFaults(UNLIKELY)
            for (tokens in listOf(3, 8, 20)) {
                val seen = fleet.ask(QUESTION, tokens)
                val report = assertNotNull(seen.result.getOrNull())
                assertEquals(NEW, report.version)
                assertEquals(tokens, report.usage.completionTokens)
                assertEquals(wholeAnswer(QUESTION, tokens), seen.text)
            }
        }
    }

    @Nested
    inner class Failures {
        @Test
        fun `a refusal after the first stage has run never says that the request has not run`() {
            fleet.setFaults(UNLIKELY.copy(refusedVersion = "$NEW"))
            assertIs<MayHaveRun>(fleet.ask(QUESTION).result.leftOrNull())
        }

        @Test
        fun `the second stage answers where the first has no runner`() {
            fleet.setFaults(LIKELY.copy(refusedVersion = "$OLD"))
            assertEquals(NEW, assertNotNull(fleet.ask(QUESTION).result.getOrNull()).version)
        }
    }
}
