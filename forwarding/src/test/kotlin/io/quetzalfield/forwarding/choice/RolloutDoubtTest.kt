package io.quetzalfield.forwarding.choice

import io.quetzalfield.decision.RolloutObservations
import io.quetzalfield.decision.StopCause
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class RolloutDoubtTest {
    private fun speed(slow: Long, timed: Long) = RolloutObservations(answers = timed, slow = slow, timed = timed)

    /** Load pattern: a version that slows half of its requests, in runs of 15 s at 20 requests per second. */
    @ParameterizedTest
    @CsvSource("4, 20, 4, 135", "6, 24, 9, 151", "8, 29, 9, 170", "8, 24, 10, 147", "10, 27, 12, 169")
    fun `a slow version is doubtful after few answers`(slow: Long, timed: Long, usualSlow: Long, usualTimed: Long) {
        assertEquals(StopCause.LATENCY, RolloutDoubt.of(speed(slow, timed), speed(usualSlow, usualTimed)))
    }

    /** Load pattern: endpoints that read prompts delay a few answers of both versions. */
    @ParameterizedTest
    @CsvSource("4, 17, 5, 81", "4, 14, 5, 81", "5, 20, 7, 97", "4, 14, 3, 64")
    fun `a few slow answers more are not doubtful`(slow: Long, timed: Long, usualSlow: Long, usualTimed: Long) {
        assertNull(RolloutDoubt.of(speed(slow, timed), speed(usualSlow, usualTimed)))
    }

    @Test
    fun `a version that fails often is doubtful, and one with a few failures is not`() {
        val usual = RolloutObservations(answers = 200, errors = 4)
        assertEquals(StopCause.ERRORS, RolloutDoubt.of(RolloutObservations(answers = 20, errors = 5), usual))
        assertNull(RolloutDoubt.of(RolloutObservations(answers = 3, errors = 3), usual))
        assertNull(RolloutDoubt.of(RolloutObservations(answers = 60, errors = 5), usual))
    }

    @Test
    fun `a version as good as the previous one is rarely doubtful, also when a tenth of the answers is slow`() {
        val random = Random(1)
        val doubtful = (1..2_000).count {
            val slow = (1..25).count { random.nextDouble() < 0.1 }.toLong()
            RolloutDoubt.of(speed(slow, 25), speed(20, 200)) != null
        }
        assertTrue(doubtful < 20, "$doubtful of 2000 are doubtful")
    }
}
