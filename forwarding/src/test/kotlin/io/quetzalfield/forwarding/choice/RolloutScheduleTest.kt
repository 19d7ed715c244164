package io.quetzalfield.forwarding.choice

import io.quetzalfield.decision.RolloutObservations
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class RolloutScheduleTest {
    private val schedule = RolloutSchedule()
    private val healthy = RolloutObservations(answers = 200, errors = 1)

    private fun next(
        elapsed: Duration,
        new: RolloutObservations = healthy,
        ramp: Duration = 24.seconds,
        requestsPerSecond: Double = 20.0,
        share: Double = 0.3,
        baseline: RolloutObservations = healthy,
        atShare: RolloutObservations = new,
        isCurrent: Boolean = true,
        stepAge: Duration = Duration.INFINITE,
    ): ScheduledStep {
        val evidence = RolloutEvidence(new, baseline, atShare, isCurrent, stepAge)
        return schedule.next(elapsed, ramp, evidence, requestsPerSecond, share)
    }

    @ParameterizedTest
    @ValueSource(ints = [0, 11, 12])
    fun `the first share is kept for the first half`(elapsed: Int) {
        assertEquals(ScheduledStep.FirstShare(0.15), next(elapsed.seconds))
    }

    @ParameterizedTest
    @CsvSource("14, 0.3", "17, 1.0", "22, 1.0")
    fun `shares grow after the first half`(elapsed: Int, share: Double) {
        assertEquals(ScheduledStep.Share(share), next(elapsed.seconds))
    }

    /** Load pattern: hundreds of requests per second. */
    @Test
    fun `the first share admits no more requests at more traffic`() {
        for (rate in listOf(40.0, 220.0, 2_000.0)) {
            val step = next(3.seconds, requestsPerSecond = rate)
            assertTrue(
                assertIs<ScheduledStep.FirstShare>(step).share * rate <= 5.1,
                "at $rate requests per second: $step",
            )
        }
    }

    /** Load pattern: the holder of the duty has just started and has counted no requests. */
    @Test
    fun `the first share waits until the rate of requests is known`() {
        assertEquals(ScheduledStep.FirstShare(0.0), next(1.seconds, requestsPerSecond = 0.0))
        assertEquals(ScheduledStep.FirstShare(0.15), next(6.seconds, requestsPerSecond = 0.0))
    }

    /** An order of 24 s was reported complete 0.26 s late when only a part of the ramp was reserved for the report. */
    @ParameterizedTest
    @CsvSource("24, 22.1", "24, 23", "100, 98.1", "10, 8.6")
    fun `it completes two periods of the duty before its time is over`(ramp: Int, elapsed: Double) {
        assertEquals(ScheduledStep.Complete, next(elapsed.seconds, ramp = ramp.seconds, share = 1.0))
    }

    /** Load pattern: little traffic or a short ramp, so that a slow version has answered few requests. */
    @Test
    fun `the full share waits for a while until enough answers are timed`() {
        val little = RolloutObservations(answers = 30, timed = 6)
        assertEquals(ScheduledStep.Share(0.3), next(17.seconds, little))
        assertEquals(ScheduledStep.Share(0.3), next(19.seconds, little))
        assertEquals(ScheduledStep.Share(1.0), next(20.seconds, little))
        assertEquals(ScheduledStep.Share(1.0), next(17.seconds, little.copy(timed = 30)))
    }

    /** Load pattern: a slow version has answered too few requests to be reverted immediately. */
    @Test
    fun `a doubtful version waits for the full share, and is reverted if the doubt persists`() {
        val doubtful = RolloutObservations(answers = 40, slow = 8, timed = 25)
        for (elapsed in listOf(14.seconds, 19.seconds)) {
            assertEquals(ScheduledStep.Share(0.3), next(elapsed, doubtful))
        }
        assertEquals(ScheduledStep.Share(0.15), next(14.seconds, doubtful, share = 0.15))
        assertIs<ScheduledStep.Revert>(next(20.seconds, doubtful))
        assertEquals(ScheduledStep.Share(1.0), next(20.seconds, doubtful, share = 1.0))
        assertIs<ScheduledStep.Revert>(next(23.seconds, doubtful, share = 1.0))
    }

    /** In EXPOSURE, a bad version that no request had reached was completed and then got every request. */
    @Test
    fun `a version that has answered nothing is not completed while the service has requests`() {
        val none = RolloutObservations()
        for (elapsed in listOf(14, 17, 20, 22, 23)) {
            assertEquals(ScheduledStep.Share(0.3), next(elapsed.seconds, none), "after $elapsed s")
        }
        assertIs<ScheduledStep.Revert>(next(24.seconds, none))
        assertEquals(ScheduledStep.Complete, next(23.seconds, healthy, share = 1.0))
    }

    /** Load pattern: a service with a request now and then. */
    @Nested
    inner class FewRequests {
        private fun next(
            elapsed: Duration,
            new: RolloutObservations,
            share: Double,
            stepAge: Duration = Duration.INFINITE,
        ) = next(elapsed, new, requestsPerSecond = 0.5, share = share, stepAge = stepAge)

        @Test
        fun `a version that has not failed gets the full share`() {
            assertEquals(ScheduledStep.Share(1.0), next(20.seconds, RolloutObservations(), share = 0.3))
        }

        @Test
        fun `a version that has answered under the full share is completed in time`() {
            assertEquals(ScheduledStep.Complete, next(23.seconds, RolloutObservations(answers = 1), share = 1.0))
        }

        /** Load pattern: all instances have been restarted, and the holder of the duty has counted few requests yet. */
        @Test
        fun `a holder that has just started does not take the service for one with few requests`() {
            val one = RolloutObservations(answers = 1)
            assertEquals(ScheduledStep.Share(1.0), next(23.seconds, one, share = 1.0, stepAge = 1.seconds))
        }

        /** Silence is no evidence, and completion can not be taken back. */
        @Test
        fun `a version without an answer is waited for, and reverted in the end`() {
            for (elapsed in listOf(23, 25, 47)) {
                assertEquals(ScheduledStep.Share(1.0), next(elapsed.seconds, RolloutObservations(), share = 1.0))
            }
            assertIs<ScheduledStep.Revert>(next(48.seconds, RolloutObservations(), share = 1.0))
        }

        @Test
        fun `a version whose only answer failed is not completed`() {
            assertEquals(ScheduledStep.Share(1.0), next(23.seconds, RolloutObservations(errors = 1), share = 1.0))
        }
    }

    /** In EXPOSURE, a bad version was completed on four answers and three errors, stored before an outage. */
    @Nested
    inner class CompletionNeedsProof {
        private val few = RolloutObservations(answers = 4, errors = 3)
        private val enough = RolloutObservations(answers = 30, timed = 30)

        @Test
        fun `a version with few answers, several of them bad, keeps its share`() {
            for (elapsed in listOf(14, 18, 20, 23, 24, 47)) {
                assertEquals(ScheduledStep.Share(0.15), next(elapsed.seconds, few, share = 0.15), "after $elapsed s")
            }
        }

        @Test
        fun `a version with few good answers does not get the full share`() {
            val good = RolloutObservations(answers = 3)
            for (elapsed in listOf(14, 18, 20, 23, 24, 47)) {
                assertEquals(ScheduledStep.Share(0.3), next(elapsed.seconds, good, share = 0.15), "after $elapsed s")
            }
        }

        @Test
        fun `answers under smaller shares do not complete it`() {
            for (share in listOf(0.15, 0.3)) {
                assertEquals(ScheduledStep.Share(1.0), next(23.seconds, enough, share = share))
            }
            val none = RolloutObservations()
            assertEquals(ScheduledStep.Share(1.0), next(23.seconds, enough, share = 1.0, atShare = none))
        }

        @Test
        fun `a version that is not proven after its time is waited for, and reverted in the end`() {
            val little = RolloutObservations(answers = 2)
            assertEquals(ScheduledStep.Share(1.0), next(30.seconds, enough, share = 1.0, atShare = little))
            assertEquals(ScheduledStep.Complete, next(30.seconds, enough, share = 1.0))
            assertIs<ScheduledStep.Revert>(next(48.seconds, enough, share = 1.0, atShare = little))
        }

        @Test
        fun `a version with many answers before and failures under the full share is not completed`() {
            val failing = RolloutObservations(answers = 6, errors = 3)
            val step = next(23.seconds, enough + failing, share = 1.0, atShare = failing)
            assertEquals(ScheduledStep.Share(1.0), step)
        }

        @Test
        fun `old observations neither enlarge the share nor complete it`() {
            for (elapsed in listOf(14, 18, 23, 30, 40)) {
                for (share in listOf(0.15, 0.3, 1.0)) {
                    val step = next(elapsed.seconds, enough, share = share, isCurrent = false)
                    assertEquals(ScheduledStep.Confirm, step, "after $elapsed s at $share")
                }
            }
            assertIs<ScheduledStep.Revert>(next(48.seconds, enough, share = 1.0, isCurrent = false))
        }

        @Test
        fun `old observations revert a version that is worse`() {
            val worse = RolloutObservations(answers = 10, errors = 20)
            assertIs<ScheduledStep.Revert>(next(14.seconds, worse, isCurrent = false))
        }

        /** Load pattern: an outage that lasted until after the ramp, before which the version had the full share. */
        @Test
        fun `a version that was proven in an outage is completed after it`() {
            assertEquals(ScheduledStep.Complete, next(40.seconds, enough, share = 1.0))
        }

        @Test
        fun `a version whose answers are slow does not get the full share`() {
            val usual = RolloutObservations(answers = 200, slow = 4, timed = 100)
            val slow = RolloutObservations(answers = 20, slow = 3, timed = 7)
            assertEquals(ScheduledStep.Share(0.3), next(23.seconds, slow, baseline = usual))
            assertEquals(ScheduledStep.Share(1.0), next(23.seconds, slow.copy(slow = 0), baseline = usual))
        }

        /** Load pattern: the endpoints of a sound version have just started and are slow at first. */
        @Test
        fun `a version with some slow answers before the full share is completed`() {
            val usual = RolloutObservations(answers = 168, errors = 44, slow = 2, timed = 31)
            val seen = RolloutObservations(answers = 227, errors = 26, slow = 5, timed = 17)
            val atShare = RolloutObservations(answers = 213, errors = 24, timed = 0)
            val step = next(23.seconds, seen, share = 1.0, baseline = usual, atShare = atShare)
            assertEquals(ScheduledStep.Complete, step)
            assertEquals(ScheduledStep.Share(1.0), next(23.seconds, seen, baseline = usual))
        }
    }

    /** Load pattern: half of the new version's requests are several times slower, and none fails. */
    @Test
    fun `a version that answers half of its requests slowly is reverted within a few answers`() {
        val usual = RolloutObservations(answers = 200, errors = 1, slow = 8)
        val stopped = (1L..50).first { timed ->
            val seen = RolloutObservations(answers = 0, slow = timed / 2, timed = timed)
            next(5.seconds, seen, baseline = usual) is ScheduledStep.Revert
        }
        assertTrue(stopped <= 24, "reverted after $stopped answers")
    }

    /** Load pattern: half of the new version's requests fail from the start. */
    @Test
    fun `a version that fails half of its requests is reverted within a few answers`() {
        val failing = (1..50).first { answers ->
            val seen = RolloutObservations(answers = answers / 2L, errors = answers - answers / 2L)
            next(5.seconds, seen) is ScheduledStep.Revert
        }
        assertTrue(failing <= 12, "reverted after $failing answers")
    }

    @Test
    fun `a few failures of a version as good as the previous one do not revert it`() {
        val seen = RolloutObservations(answers = 60, errors = 2)
        assertIs<ScheduledStep.FirstShare>(next(5.seconds, seen))
    }
}
