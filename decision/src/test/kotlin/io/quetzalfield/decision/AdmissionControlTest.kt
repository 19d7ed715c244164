package io.quetzalfield.decision

import arrow.core.Either
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.model.RequestPriority
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

private const val STEPS = 2_000

class AdmissionControlTest {
    private val time = TestTimeSource()
    private val control = AdmissionControl(AllowanceShare { 6_000.0 }, timeSource = time, random = Random(3))

    private fun request(
        account: String = "large",
        priority: RequestPriority = RequestPriority.NORMAL,
        tokens: Int = 1_000,
        expected: Duration = 1.seconds,
        pressure: Double = 0.0,
        weight: Double = 1.0,
    ) = AdmissionRequest(ClientAccountId(account), weight, priority, tokens, 10.seconds, expected, pressure)

    private fun refusal(result: Either<NotRun, Admitted>): RefusalReason? = result.leftOrNull()?.refusal

    @Nested
    inner class Allowance {
        @Test
        fun `the tokens of a minute stay within the allowance, and a refusal gives a retry delay`() {
            repeat(6) { assertNull(refusal(control.admit(request()))) }
            time += 20.seconds
            val refused = assertNotNull(control.admit(request()).leftOrNull())
            assertEquals(RefusalReason.ALLOWANCE_SPENT, refused.refusal)
            assertTrue(assertNotNull(refused.retryAfter) in 40.seconds..120.seconds)
            time += 40.seconds
            assertNull(refusal(control.admit(request())))
        }

        @Test
        fun `tokens that were not generated are returned to the allowance`() {
            repeat(6) { control.admit(request()).onRight { it.finish(tokens = 0) } }
            assertNull(refusal(control.admit(request())))
        }
    }

    @Nested
    inner class Deadline {
        @Test
        fun `a request that cannot meet its deadline is refused with a retry delay`() {
            val refused = assertNotNull(control.admit(request(expected = 11.seconds)).leftOrNull())
            assertEquals(RefusalReason.DEADLINE_CANNOT_BE_MET, refused.refusal)
            assertTrue(assertNotNull(refused.retryAfter) in 1.seconds..3.seconds)
        }

        @Test
        fun `retry delays are spread`() {
            val times = List(100) { control.admit(request(expected = 11.seconds)).leftOrNull()?.retryAfter }
            assertTrue(times.toSet().size > 90)
        }
    }

    @Nested
    inner class Overload {
        @Test
        fun `rising pressure refuses background, then normal, then interactive, and beyond the limit all requests`() {
            repeat(10) { control.admit(request(tokens = 1)) }
            control.admit(request("small", tokens = 1, weight = 9.0))
            time += 1.seconds
            val admittedAt = RequestPriority.entries.associateWith { priority ->
                listOf(0.7, 0.9, 1.1, 1.3).count {
                    refusal(control.admit(request("large", priority, 1, pressure = it))) ==
                        null
                }
            }
            assertEquals(listOf(3, 2, 1), RequestPriority.entries.map(admittedAt::getValue))
            assertEquals(RefusalReason.OVERLOADED, refusal(control.admit(request("small", tokens = 1, pressure = 2.0))))
        }

        @Test
        fun `an account within its fair share is admitted while one above its share is refused`() {
            repeat(20) { control.admit(request("large", tokens = 1)) }
            control.admit(request("small", tokens = 1))
            time += 1.seconds
            assertEquals(RefusalReason.OVERLOADED, refusal(control.admit(request("large", tokens = 1, pressure = 1.5))))
            assertNull(refusal(control.admit(request("small", tokens = 1, pressure = 1.5))))
        }

        /**
         * Simulates a pool of 20 slots in which each request takes ten steps. Returns the share of admitted requests of
         * each account in [demand], which is in requests per step.
         */
        private fun admittedShares(demand: Map<String, Int>, weights: Map<String, Double>): Map<String, Double> {
            val running = ArrayDeque<Pair<Int, Admitted>>()
            val admitted = mutableMapOf<String, Int>()
            for (step in 0 until STEPS) {
                while (running.isNotEmpty() && running.first().first <= step) running.removeFirst().second.finish(1)
                for ((account, requests) in demand) {
                    repeat(requests) {
                        val pressure = running.size / 20.0
                        val attempt =
                            request(account, tokens = 1, pressure = pressure, weight = weights.getValue(account))
                        control.admit(attempt).onRight { admission ->
                            running += step + 10 to admission
                            admitted.merge(account, 1, Int::plus)
                        }
                    }
                }
                time += 1.seconds
            }
            return admitted.mapValues { (account, count) -> count / (STEPS * demand.getValue(account)).toDouble() }
        }

        @Test
        fun `an account within its weighted share has less than one percent of its requests refused`() {
            val shares = admittedShares(mapOf("greedy" to 8, "within" to 1), mapOf("greedy" to 1.0, "within" to 1.5))
            assertTrue(shares.getValue("within") > 0.99 && shares.getValue("greedy") < 0.3, "$shares")
        }
    }
}
