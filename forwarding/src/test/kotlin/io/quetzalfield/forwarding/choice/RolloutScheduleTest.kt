package io.quetzalfield.forwarding.choice

import io.quetzalfield.decision.RolloutObservations
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
    ) = schedule.next(elapsed, ramp, new, baseline = healthy, requestsPerSecond)

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
        assertEquals(ScheduledStep.Complete, next(elapsed.seconds, ramp = ramp.seconds))
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
            val step = schedule.next(elapsed, 24.seconds, doubtful, healthy, 20.0, share = 0.3)
            assertEquals(ScheduledStep.Share(0.3), step)
        }
        val early = schedule.next(14.seconds, 24.seconds, doubtful, healthy, 20.0, share = 0.15)
        assertEquals(ScheduledStep.Share(0.15), early)
        assertIs<ScheduledStep.Revert>(next(20.seconds, doubtful))
        val full = schedule.next(20.seconds, 24.seconds, doubtful, healthy, 20.0, share = 1.0)
        assertEquals(ScheduledStep.Share(1.0), full)
        assertIs<ScheduledStep.Revert>(schedule.next(23.seconds, 24.seconds, doubtful, healthy, 20.0, share = 1.0))
    }

    /** In EXPOSURE, a bad version that no request had reached was completed and then got every request. */
    @Test
    fun `a version that has answered nothing is not completed while the service has requests`() {
        val none = RolloutObservations()
        for (elapsed in listOf(14, 17, 20, 22, 23)) {
            assertEquals(ScheduledStep.Share(0.3), next(elapsed.seconds, none), "after $elapsed s")
        }
        assertIs<ScheduledStep.Revert>(next(24.seconds, none))
        assertEquals(ScheduledStep.Complete, next(23.seconds, healthy))
    }

    /** Load pattern: a service with a request now and then. */
    @Test
    fun `a version of a service without enough requests is completed in time`() {
        assertEquals(ScheduledStep.Share(1.0), next(20.seconds, RolloutObservations(), requestsPerSecond = 0.5))
        assertEquals(ScheduledStep.Complete, next(23.seconds, RolloutObservations(), requestsPerSecond = 0.5))
    }

    /** Load pattern: half of the new version's requests are several times slower, and none fails. */
    @Test
    fun `a version that answers half of its requests slowly is reverted within a few answers`() {
        val usual = RolloutObservations(answers = 200, errors = 1, slow = 8)
        val stopped = (1L..50).first { timed ->
            val seen = RolloutObservations(answers = 0, slow = timed / 2, timed = timed)
            schedule.next(5.seconds, 24.seconds, seen, usual, 20.0) is ScheduledStep.Revert
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
