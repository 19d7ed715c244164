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
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Requests that run beside the one that crashes the runner. */
private const val UNRELATED_REQUESTS = 24

class CompletionAttemptsTest {
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
                val ran = fleet.runners[0].receivedRequests().size
                assertEquals(ran, results.count { it is MayHaveRun }, "$results")
            }
        }
    }

    @Nested
    inner class CallerDisconnects {
        @Test
        fun `the runner stops at once when the caller disconnects`() {
            EmbeddedFleet(runnerCount = 1).use { fleet ->
                fleet.askAndDisconnect(tokens = 3)
                val start = TimeSource.Monotonic.markNow()
                while (!fleet.isIdle()) {
                    check(start.elapsedNow() < 10.seconds) {
                        "the runner is still running the request"
                    }
                }
                assertEquals(0, fleet.control.admission.admittedRequests)
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
        fun `unrelated requests on the crashed runner get their whole answers`() {
            val pool = Executors.newFixedThreadPool(UNRELATED_REQUESTS)
            EmbeddedFleet(runnerCount = 5).use { fleet ->
                fleet.setFaults(RunnerFaults(crashOnText = "poison"))
                val unrelated = List(UNRELATED_REQUESTS) { number ->
                    pool.submit(Callable { fleet.ask("innocent $number", tokens = 200) })
                }
                while (fleet.seenCount() < UNRELATED_REQUESTS) Thread.onSpinWait()
                val poison = fleet.ask("poison")
                assertTrue(poison.result.isLeft())
                val answers = unrelated.map { it.get() }
                assertEquals(emptyList(), answers.mapNotNull { it.result.leftOrNull() })
                assertEquals(
                    List(UNRELATED_REQUESTS) { wholeAnswer("innocent $it", tokens = 200) },
                    answers.map(SeenAnswer::text),
                )
                assertEquals(2, fleet.crashCount)
                assertTrue(
                    fleet.seenCount() > UNRELATED_REQUESTS + 4,
                    "${fleet.seenCount()} runs: no unrelated request was repeated",
                )
            }
            pool.shutdownNow()
        }
    }

    @Nested
    inner class Refusals {
        @Test
        fun `an account that has spent its allowance gets a retry-after time`() {
            EmbeddedFleet(runnerCount = 1, allowance = AllowanceShare { 30.0 }).use { fleet ->
                assertTrue(fleet.ask("first").result.isRight())
                val refused = assertIs<NotRun>(fleet.ask("second").result.leftOrNull())
                assertEquals(RefusalReason.ALLOWANCE_SPENT, refused.refusal)
                assertNotNull(refused.retryAfter)
            }
        }

        @Test
        fun `without a runner the caller gets a retry-after time`() {
            EmbeddedFleet(runnerCount = 0).use { fleet ->
                val refused = assertIs<NotRun>(fleet.ask("question").result.leftOrNull())
                assertEquals(RefusalReason.NO_RUNNER, refused.refusal)
                assertNotNull(refused.retryAfter)
            }
        }
    }
}
