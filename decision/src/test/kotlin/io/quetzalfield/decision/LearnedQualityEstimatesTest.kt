package io.quetzalfield.decision

import io.quetzalfield.model.ModelVersionReference
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.hours
import kotlin.time.TestTimeSource

private val VERSION = checkNotNull(ModelVersionReference.parse("small@1"))
private const val KIND = "question"

class LearnedQualityEstimatesTest {
    private val clock = TestTimeSource()
    private val estimates = LearnedQualityEstimates(timeSource = clock)
    private val random = Random(3)

    private fun rate(count: Int, passRate: Double, hasScore: Boolean = true) = repeat(count) {
        val score = random.nextDouble()
        if (hasScore) estimates.recordScore(VERSION, KIND, score)
        val passed = random.nextDouble() < passRate
        estimates.recordRating(RatedAnswer(VERSION, KIND, passed, score.takeIf { hasScore }))
    }

    @Nested
    inner class Learning {
        @Test
        fun `the prior applies until ratings arrive`() {
            assertEquals(0.8, estimates.estimate(VERSION, KIND, prior = 0.8), absoluteTolerance = 1e-9)
        }

        @ParameterizedTest
        @CsvSource("0.95, true", "0.6, true", "0.95, false", "0.6, false")
        fun `the estimate approaches the pass rate`(passRate: Double, hasScore: Boolean) {
            rate(count = 4_000, passRate = passRate, hasScore = hasScore)
            assertEquals(passRate, estimates.estimate(VERSION, KIND, prior = 0.8), absoluteTolerance = 0.02)
        }

        @Test
        fun `the lower bound approaches the estimate as ratings arrive`() {
            fun gap() = estimates.estimate(VERSION, KIND, 0.8) - estimates.lowerBound(VERSION, KIND, 0.8, 0.9)
            val before = gap()
            rate(count = 1_000, passRate = 0.8)
            assertTrue(gap() < before / 4)
        }

        @Test
        fun `concurrent updates lose no rating`() {
            val pool = Executors.newFixedThreadPool(8)
            val tasks = List(8) {
                Callable { repeat(2_000) { estimates.recordRating(RatedAnswer(VERSION, KIND, passed = true)) } }
            }
            pool.invokeAll(tasks).forEach { it.get() }
            pool.shutdown()
            assertTrue(estimates.estimate(VERSION, KIND, prior = 0.1) > 0.99)
        }
    }

    @Nested
    inner class Drift {
        @Test
        fun `a halved pass rate lowers the estimate within 100 ratings`() {
            rate(count = 5_000, passRate = 0.94)
            rate(count = 100, passRate = 0.47)
            assertTrue(estimates.estimate(VERSION, KIND, prior = 0.9) < 0.75)
        }

        @Test
        fun `a fall on one kind lowers the estimates of the other kinds`() {
            rate(count = 5_000, passRate = 0.94)
            repeat(200) { estimates.recordRating(RatedAnswer(VERSION, "other", passed = true)) }
            repeat(60) { estimates.recordRating(RatedAnswer(VERSION, "other", passed = it % 2 == 0)) }
            assertTrue(estimates.lowerBound(VERSION, KIND, prior = 0.9, confidence = 0.9) < 0.9)
        }

        @Test
        fun `the evidence of a fall decays, and the evidence from before it is restored after recovery`() {
            rate(count = 5_000, passRate = 0.94)
            rate(count = 100, passRate = 0.47)
            clock += 1.hours
            assertEquals(0.9, estimates.estimate(VERSION, KIND, prior = 0.9), absoluteTolerance = 0.01)
            rate(count = 100, passRate = 0.94)
            assertTrue(estimates.lowerBound(VERSION, KIND, prior = 0.9, confidence = 0.99) > 0.92)
        }

        @Test
        fun `a constant pass rate causes no false alarm`() {
            repeat(10) {
                rate(count = 2_000, passRate = 0.9)
                assertEquals(0.9, estimates.estimate(VERSION, KIND, prior = 0.9), absoluteTolerance = 0.025)
            }
        }
    }
}

class NormalQuantileTest {
    @ParameterizedTest
    @CsvSource("0.5, 0.0", "0.9, 1.2816", "0.99, 2.3263", "0.01, -2.3263")
    fun `quantiles match published tables`(probability: Double, expected: Double) {
        assertEquals(expected, normalQuantile(probability), absoluteTolerance = 0.001)
    }
}
