package io.quetzalfield.decision

import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes

private const val OLD_PER_NEW = 9
private const val ANSWERS_BEFORE = 500
private const val EXPECTATION_ERROR = 0.03
private const val RATED_SHARE = 0.7
private const val RATING_LAG = 5

/** A simulated version with the given rates. */
private class SimulatedVersion(val passRate: Double, val errorRate: Double = 0.01, val slowRate: Double = 0.05) {
    private val unrated = ArrayDeque<Boolean>()

    fun observe(random: Random): RolloutObservations {
        val isError = random.nextDouble() < errorRate
        if (isError) return RolloutObservations(errors = 1)
        unrated += random.nextDouble() < passRate
        val passed = if (unrated.size > RATING_LAG) unrated.removeFirst() else null
        val isRated = passed != null && random.nextDouble() < RATED_SHARE
        return RolloutObservations(
            answers = 1,
            rated = if (isRated) 1 else 0,
            passed = if (isRated && passed == true) 1 else 0,
            slow = if (random.nextDouble() < slowRate) 1 else 0,
        )
    }
}

class RolloutTestTest {
    private val rolloutTest = RolloutTest()

    /** Number of answers of the new version until it was stopped; `null` if it was not stopped within [limit]. */
    private fun answersUntilStop(new: SimulatedVersion, old: SimulatedVersion, limit: Int, seed: Int): Int? {
        val random = Random(seed)
        val expected = ExpectedRates(passRate = (old.passRate + EXPECTATION_ERROR).coerceAtMost(1.0))
        var newSums = RolloutObservations()
        var oldSums = RolloutObservations()
        repeat(ANSWERS_BEFORE) { oldSums += old.observe(random) }
        for (answer in 1..limit) {
            repeat(OLD_PER_NEW) { oldSums += old.observe(random) }
            newSums += new.observe(random)
            if (rolloutTest.evaluate(newSums, oldSums, expected) is RolloutVerdict.Harmful) return answer
        }
        return null
    }

    private fun quantile(sorted: List<Int>, share: Double): Int = sorted[(sorted.size * share).toInt()]

    @Nested
    inner class Simulation {
        @Test
        fun `a version of half the quality is stopped within the required number of answers`() {
            for (passRate in listOf(0.95, 0.9, 0.8)) {
                val stops = (1..300).map { seed ->
                    answersUntilStop(
                        SimulatedVersion(passRate / 2),
                        SimulatedVersion(passRate),
                        limit = 2_000,
                        seed,
                    ) ?: 2_000
                }.sorted()
                assertTrue(quantile(stops, 0.5) <= 40 && quantile(stops, 0.95) <= 150, "$passRate: $stops")
            }
        }

        @Test
        fun `fewer than one healthy roll-out in a hundred is stopped`() {
            val falseStops = (1..1_000).count { seed ->
                val passRate = listOf(0.95, 0.9, 0.8, 0.6)[seed % 4]
                answersUntilStop(SimulatedVersion(passRate), SimulatedVersion(passRate), limit = 1_000, seed) != null
            }
            assertTrue(falseStops < 10, "$falseStops")
        }
    }

    @Nested
    inner class Causes {
        private val baseline = RolloutObservations(answers = 900, rated = 600, passed = 540, errors = 9, slow = 45)

        private fun causeOf(new: RolloutObservations): StopCause? =
            (rolloutTest.evaluate(new, baseline) as? RolloutVerdict.Harmful)?.cause

        @Test
        fun `each measure alone can stop a version`() {
            val cases = mapOf(
                RolloutObservations(answers = 100, rated = 70, passed = 62, errors = 1, slow = 6) to null,
                RolloutObservations(answers = 100, rated = 70, passed = 30, errors = 1, slow = 6) to StopCause.RATINGS,
                RolloutObservations(answers = 80, rated = 60, passed = 54, errors = 20, slow = 5) to StopCause.ERRORS,
                RolloutObservations(answers = 100, rated = 70, passed = 63, errors = 1, slow = 40) to StopCause.LATENCY,
            )
            for ((observations, cause) in cases) assertEquals(cause, causeOf(observations))
        }
    }

    @Nested
    inner class Plan {
        private val steps = RolloutPlan()
        private val harm = RolloutVerdict.Harmful(StopCause.RATINGS, 9.0)

        private fun next(share: Double, age: Duration, rated: Long, verdict: RolloutVerdict = RolloutVerdict.Healthy) =
            steps.next(RolloutProgress(share, age, rated), verdict)

        @Test
        fun `steps advance, stay, roll back and stop`() {
            val cases = listOf(
                next(0.05, 6.minutes, 50) to RolloutAction.Advance(0.1),
                next(0.05, 4.minutes, 50) to RolloutAction.Stay,
                next(0.05, 6.minutes, 49) to RolloutAction.Stay,
                next(0.5, 25.hours, 10) to RolloutAction.RollBack,
                next(1.0, 25.hours, 10) to RolloutAction.Stay,
                next(0.0, 25.hours, 500) to RolloutAction.Stay,
                next(0.1, 1.minutes, 5, harm) to RolloutAction.Stop(harm),
            )
            for ((action, expected) in cases) assertEquals(expected, action)
        }
    }
}
