package io.quetzalfield.forwarding.endpoints

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class EndpointTrustTest {
    private val time = TestTimeSource()
    private var turn = TrialTurn(rank = 0, sharers = 4)
    private val changes = mutableListOf<TrustChange>()
    private val trust = EndpointTrust({ turn }, changes::add)
    private val now: ComparableTimeMark get() = time.markNow()
    private val pause: Duration get() = checkNotNull(trust.avoidedUntil) - now

    private fun learn(change: TrustChange) = trust.learn(change, now, now)

    private fun learnFailures() = repeat(2) { learn(TrustChange.FAILED) }

    @Nested
    inner class OwnFailures {
        @Test
        fun `let one call through after the pause until its outcome is known`() {
            trust.recordFailure(now)
            time += pause
            trust.recordSend(now)
            assertEquals(1.seconds, pause)
            trust.recordFailure(now)
            assertEquals(1.seconds, pause)
        }

        @Test
        fun `end with the answer to a call that was sent after them`() {
            val before = now
            time += 1.seconds
            trust.recordFailure(now)
            trust.recordAnswer(before)
            assertEquals(true, trust.isSuspect)
            trust.recordAnswer(now)
            assertEquals(false, trust.isSuspect)
            assertNull(trust.avoidedUntil)
        }

        @Test
        fun `keep calls that may not be repeated away until others had time to try`() {
            trust.recordFailure(now)
            time += pause
            assertEquals(true, trust.isDoubtfulAt(now))
            time += 2.seconds
            assertEquals(false, trust.isDoubtfulAt(now))
            trust.recordSend(now)
            assertEquals(true, trust.isDoubtfulAt(now))
        }

        @Test
        fun `are told, errors of requests are not`() {
            trust.recordFailure(now, isShared = false)
            assertEquals(emptyList(), changes)
            trust.recordFailure(now)
            trust.recordFailure(now)
            time += pause
            trust.recordSend(now)
            trust.recordAnswer(now)
            assertEquals(listOf(TrustChange.FAILED, TrustChange.TRIED, TrustChange.ANSWERED), changes)
        }
    }

    @Nested
    inner class ToldFailures {
        @Test
        fun `count from the second on, and those far apart do not`() {
            repeat(3) {
                learn(TrustChange.FAILED)
                time += 3.seconds
            }
            assertEquals(false, trust.isSuspect)
            learnFailures()
            assertEquals(true, trust.isSuspect)
        }

        @Test
        fun `let the instances try in turn`() {
            turn = TrialTurn(rank = 3, sharers = 4)
            learnFailures()
            assertEquals(800.milliseconds, pause)
            learn(TrustChange.TRIED)
            assertEquals(1_300.milliseconds, pause)
        }

        @Test
        fun `end with the first good answer of any instance`() {
            learnFailures()
            time += 1.seconds
            learn(TrustChange.ANSWERED)
            assertEquals(false, trust.isSuspect)
        }

        /** Its link to the endpoint may be cut, while that of the others is not. */
        @Test
        fun `that this instance has met itself it tries itself`() {
            trust.recordFailure(now)
            learnFailures()
            time += 100.milliseconds
            learn(TrustChange.ANSWERED)
            assertEquals(true, trust.isSuspect)
            assertEquals(Duration.ZERO, pause)
        }

        @Test
        fun `do not count beside an own answer a moment ago`() {
            trust.recordAnswer(now)
            time += 500.milliseconds
            learnFailures()
            assertEquals(false, trust.isSuspect)
        }
    }
}
