package io.quetzalfield.forwarding.choice

import io.quetzalfield.decision.RolloutObservations
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class RolloutScheduleTest {
    private val schedule = RolloutSchedule()
    private val healthy = RolloutObservations(answers = 200, errors = 1)

    @ParameterizedTest
    @CsvSource("0, 0.08", "11, 0.08", "12, 0.08", "14, 0.3", "17, 1.0", "22, 1.0")
    fun `shares grow after the first half`(elapsed: Int, share: Double) {
        assertEquals(ScheduledStep.Share(share), schedule.next(elapsed.seconds, 24.seconds, healthy, healthy))
    }

    /** The pattern: hundreds of requests a second, a third of them in sessions that are under way. */
    @Test
    fun `the first step moves no more sessions where there is more traffic`() {
        for (rate in listOf(40.0, 220.0, 2_000.0)) {
            val step = schedule.next(3.seconds, 24.seconds, healthy, healthy, requestsPerSecond = rate)
            assertTrue(assertIs<ScheduledStep.Share>(step).share * rate <= 2.6, "at $rate requests a second: $step")
        }
        val little = schedule.next(3.seconds, 24.seconds, healthy, healthy, requestsPerSecond = 20.0)
        assertEquals(ScheduledStep.Share(0.08), little)
    }

    @Test
    fun `it completes before its time is over`() {
        assertEquals(ScheduledStep.Complete, schedule.next(23.seconds, 24.seconds, healthy, healthy))
    }

    /** The pattern: half of the new version's requests fail from the start. */
    @Test
    fun `a version that fails half of its requests is taken back within a few answers`() {
        val failing = (1..50).first { answers ->
            val seen = RolloutObservations(answers = answers / 2L, errors = answers - answers / 2L)
            schedule.next(5.seconds, 24.seconds, seen, healthy) is ScheduledStep.Revert
        }
        assertTrue(failing <= 12, "taken back after $failing answers")
    }

    @Test
    fun `a few failures of a version as good as the one before do not take it back`() {
        val seen = RolloutObservations(answers = 60, errors = 2)
        assertIs<ScheduledStep.Share>(schedule.next(5.seconds, 24.seconds, seen, healthy))
    }
}
