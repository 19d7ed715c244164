package io.quetzalfield.entry

import io.quetzalfield.decision.AllowanceShare
import io.quetzalfield.model.MayHaveRun
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.standins.RunnerFaults
import io.quetzalfield.standins.answerWords
import org.junit.jupiter.api.Nested
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

private const val INNOCENTS = 24

class CompletionAttemptsTest {
    private fun wholeAnswer(text: String, tokens: Int = 20): String =
        answerWords(request(text, tokens)).joinToString("")

    @Nested
    inner class CutStreams {
        @Test
        fun `a cut stream is resumed where it broke`() {
            EmbeddedFleet(runnerCount = 2).use { fleet ->
                fleet.runners[0].setFaults(RunnerFaults(cutAfterTokens = 7))
                val answers = List(8) { fleet.ask("question $it") }
                assertEquals(List(8) { wholeAnswer("question $it") }, answers.map(SeenAnswer::text))
                assertTrue(answers.all { it.result.isRight() }, "${answers.map { it.result }}")
            }
        }

        @Test
        fun `a stream that cannot be completed is reported as one that may have run`() {
            EmbeddedFleet(runnerCount = 2).use { fleet ->
                fleet.setFaults(RunnerFaults(cutAfterTokens = 7))
                val answer = fleet.ask("question")
                assertIs<MayHaveRun>(answer.result.leftOrNull())
                assertEquals(answerWords(request("question")).take(7).joinToString(""), answer.text)
            }
        }

        @Test
        fun `a refusal after an attempt that may have run does not say that the request has not run`() {
            EmbeddedFleet(runnerCount = 2).use { fleet ->
                fleet.runners[0].setFaults(RunnerFaults(cutAfterTokens = 0))
                fleet.runners[1].setFaults(RunnerFaults(isLeaving = true))
                val results = List(6) { fleet.ask("question $it").result.leftOrNull() }
                val ran = fleet.runners[0].seenRequests().size
                assertEquals(ran, results.count { it is MayHaveRun }, "$results")
            }
        }
    }

    @Nested
    inner class CrashingRequests {
        @Test
        fun `a request that crashes runners costs two of them and is then refused at once`() {
            EmbeddedFleet(runnerCount = 6).use { fleet ->
                fleet.setFaults(RunnerFaults(crashOnText = "poison"))
                val first = fleet.ask("poison").result.leftOrNull()
                val later = List(5) { fleet.ask("poison").result.leftOrNull() }
                assertEquals(2, fleet.crashCount)
                assertIs<MayHaveRun>(first)
                assertEquals(
                    List(5) { RefusalReason.REQUEST_CRASHES_RUNNERS },
                    later.map { assertIs<NotRun>(it).refusal },
                )
            }
        }

        @Test
        fun `innocent requests that shared the runner get their whole answers`() {
            val pool = Executors.newFixedThreadPool(INNOCENTS)
            EmbeddedFleet(runnerCount = 5).use { fleet ->
                fleet.setFaults(RunnerFaults(crashOnText = "poison"))
                val innocents = List(INNOCENTS) { number ->
                    pool.submit(Callable { fleet.ask("innocent $number", tokens = 200) })
                }
                while (fleet.seenCount() < INNOCENTS) Thread.onSpinWait()
                val poison = fleet.ask("poison")
                assertTrue(poison.result.isLeft())
                assertEquals(
                    List(INNOCENTS) { wholeAnswer("innocent $it", tokens = 200) },
                    innocents.map { it.get().text },
                )
                assertEquals(2, fleet.crashCount)
                assertTrue(fleet.seenCount() > INNOCENTS + 4, "${fleet.seenCount()} runs: no innocent lost its runner")
            }
            pool.shutdownNow()
        }
    }

    @Nested
    inner class Refusals {
        @Test
        fun `an account that has spent its allowance is told when to come back`() {
            EmbeddedFleet(runnerCount = 1, allowance = AllowanceShare { 30.0 }).use { fleet ->
                assertTrue(fleet.ask("first").result.isRight())
                val refused = assertIs<NotRun>(fleet.ask("second").result.leftOrNull())
                assertEquals(RefusalReason.ALLOWANCE_SPENT, refused.refusal)
                assertNotNull(refused.retryAfter)
            }
        }

        @Test
        fun `without a runner the caller is told when to come back`() {
            EmbeddedFleet(runnerCount = 0).use { fleet ->
                val refused = assertIs<NotRun>(fleet.ask("question").result.leftOrNull())
                assertEquals(RefusalReason.NO_RUNNER, refused.refusal)
                assertNotNull(refused.retryAfter)
            }
        }
    }
}
