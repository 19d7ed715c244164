package io.quetzalfield.forwarding.choice

import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Load pattern: see [UnevenFleet]; callers ask for more than all endpoints can read if parts are read again. */
class UnevenSpeedHistoryTest {
    private val kinds = listOf(
        Kind("long", shared = 13_300, own = 3_720, perSecond = 51.5, objective = 4_000),
        Kind("middle", shared = 6_300, own = 2_890, perSecond = 35.9, objective = 3_000),
        Kind("short", shared = 350, own = 1_110, perSecond = 57.8, objective = 2_000),
    )

    private fun byLeastWork(instances: Int, seed: Int, statesTimeFactor: Boolean = true) =
        UnevenFleet(instances, kinds, seed, statesTimeFactor) { _, random -> LeastWorkPlacement(random) }.replay()

    private fun byExpectedStart(instances: Int, seed: Int, statesTimeFactor: Boolean = true) =
        UnevenFleet(instances, kinds, seed, statesTimeFactor) { times, random -> ExpectedStartPlacement(times, random) }
            .replay()

    @Nested
    inner class StatedTimeFactors {
        @ParameterizedTest
        @ValueSource(ints = [26, 76, 300])
        fun `answers start in time, and no endpoint is much busier than the mean`(instances: Int) {
            for (seed in SEEDS) {
                val outcome = byExpectedStart(instances, seed)
                assertTrue(outcome.inTime >= LEAST_IN_TIME, "$instances instances, seed $seed: $outcome")
                assertTrue(outcome.busiest <= MOST_BUSY, "$instances instances, seed $seed: $outcome")
            }
        }

        @ParameterizedTest
        @ValueSource(ints = [26, 76, 300])
        fun `by the least work, a fifth more of them start too late`(instances: Int) {
            for (seed in SEEDS) {
                val outcome = byLeastWork(instances, seed)
                assertTrue(outcome.inTime < LEAST_IN_TIME - MARGIN, "$instances instances, seed $seed: $outcome")
                assertTrue(outcome.busiest > MOST_BUSY, "$instances instances, seed $seed: $outcome")
            }
        }
    }

    @Test
    fun `where endpoints state no time factor, each choice is that by the least work`() {
        val choices = byLeastWork(instances = 26, seed = 1, statesTimeFactor = false).choices
        assertEquals(choices, byExpectedStart(instances = 26, seed = 1, statesTimeFactor = false).choices)
    }

    private companion object {
        val SEEDS = 1..2
        const val LEAST_IN_TIME = 0.95
        const val MARGIN = 0.2
        const val MOST_BUSY = 1.4
    }
}
