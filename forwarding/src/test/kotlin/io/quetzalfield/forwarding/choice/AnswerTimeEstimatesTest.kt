package io.quetzalfield.forwarding.choice

import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.endpoints.EndpointLoad
import io.quetzalfield.forwarding.endpoints.PromptPart
import io.quetzalfield.forwarding.endpoints.description
import io.quetzalfield.model.ModelId
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

class AnswerTimeEstimatesTest {
    private val timeSource = TestTimeSource()
    private val now get() = timeSource.markNow()
    private val endpoints = List(3) { Endpoint(description("runner-$it", port = it + 1)) }
    private val estimates = AnswerTimeEstimates()
    private val prompt = Work(ModelId("small"), listOf(PromptPart("own", 1_500)))

    private fun learn(work: Work, start: (Int) -> Duration) = repeat(60) { round ->
        timeSource += 10.milliseconds
        val index = round % endpoints.size
        val expectation = estimates.expect(work, endpoints[index], tokensToRead = 1_500, now)
        estimates.record(expectation, start(index), now)
    }

    private fun start(work: Work, index: Int) =
        estimates.expectedStart(work, endpoints[index], now).inWholeMilliseconds.toDouble()

    @Test
    fun `nothing is expected before there were answers`() =
        assertEquals(Duration.ZERO, estimates.expectedStart(prompt, endpoints.first(), now))

    @Nested
    inner class Prompts {
        @Test
        fun `the time of an answer is expected again`() {
            learn(prompt) { 100.milliseconds }
            assertEquals(100.0, start(prompt, index = 0), absoluteTolerance = 5.0)
        }

        @Test
        fun `a slow endpoint is expected to take longer, and the others are not`() {
            learn(prompt) { if (it == 0) 300.milliseconds else 100.milliseconds }
            assertEquals(300.0, start(prompt, index = 0), absoluteTolerance = 60.0)
            assertEquals(100.0, start(prompt, index = 1), absoluteTolerance = 20.0)
        }

        @Test
        fun `prompts that are still to be read add their time`() {
            learn(prompt) { 100.milliseconds }
            endpoints.first().unreadTokens = 2_000
            assertEquals(200.0, start(prompt, index = 0), absoluteTolerance = 10.0)
        }

        @Test
        fun `a stated time factor counts while it is new`() {
            learn(prompt) { 100.milliseconds }
            endpoints.first().load = EndpointLoad(running = 0, waiting = 0, slots = 4, timeFactor = 2.5)
            endpoints.first().loadReportedAt = now
            assertEquals(250.0, start(prompt, index = 0), absoluteTolerance = 10.0)
            timeSource += 3_000.milliseconds
            assertEquals(100.0, start(prompt, index = 0), absoluteTolerance = 10.0)
        }
    }

    @Nested
    inner class PlainCalls {
        @Test
        fun `calls that wait for a slot add their time`() {
            learn(Work()) { 20.milliseconds }
            endpoints.first().inFlight = 11
            assertTrue(start(Work(), index = 0) > 55, "${start(Work(), index = 0)}")
            assertEquals(20.0, start(Work(), index = 1), absoluteTolerance = 2.0)
        }
    }
}
