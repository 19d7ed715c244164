package io.quetzalfield.forwarding.choice

import io.quetzalfield.model.ModelId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ConfidenceCascadeTest {
    private val small = ModelId("small")
    private val large = ModelId("large")
    private val models = listOf(small, ModelId("middle"), large)
    private val cascade = ConfidenceCascade(idleThreshold = 50, busyThreshold = 20, fullOccupancy = 0.5)

    private fun answer(confidence: Int?, occupancy: Double = 0.0, remaining: Duration = 2.seconds) =
        FirstAnswer(confidence, occupancy, remaining, expectedStart = 300.milliseconds)

    @Test
    fun `the largest model is asked after an answer with low confidence`() {
        assertEquals(large, cascade.next(models, small, answer(confidence = 49)))
        assertNull(cascade.next(models, small, answer(confidence = 50)))
    }

    @Test
    fun `the largest model's answer is passed on whatever its confidence`() {
        assertNull(cascade.next(models, large, answer(confidence = 1)))
    }

    @Test
    fun `an answer without a stated confidence is passed on`() {
        assertNull(cascade.next(models, small, answer(confidence = null)))
    }

    @Test
    fun `a second answer that would come late is not asked for`() {
        assertNull(cascade.next(models, small, answer(confidence = 1, remaining = 200.milliseconds)))
    }

    /** Load pattern: a burst fills the pool, and second answers would delay first ones. */
    @Test
    fun `the threshold falls as the pool fills`() {
        val thresholds = listOf(0.0, 0.25, 0.5, 2.0).map(cascade::thresholdAt)
        assertEquals(listOf(50, 35, 20, 20), thresholds)
        assertTrue(thresholds == thresholds.sortedDescending())
    }
}
