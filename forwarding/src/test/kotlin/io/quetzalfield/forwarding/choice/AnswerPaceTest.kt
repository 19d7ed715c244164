package io.quetzalfield.forwarding.choice

import io.quetzalfield.model.ModelId
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class AnswerPaceTest {
    private val pace = AnswerPace()
    private val key = PaceKey("chat", ModelId("small"))

    private fun record(vararg milliseconds: Int) = milliseconds.forEach { pace.record(key, it.milliseconds) }

    @Test
    fun `no pause is long before enough answers are known`() {
        record(20, 20, 20, 20)
        assertNull(pace.longPause(key))
        record(20)
        assertEquals(80.milliseconds, pace.longPause(key))
    }

    @Test
    fun `routes and models are kept apart`() {
        record(20, 20, 20, 20, 20)
        assertNull(pace.longPause(PaceKey("chat", ModelId("large"))))
        assertNull(pace.longPause(PaceKey("plan", ModelId("small"))))
    }

    /** Load pattern: batches fill, so that all answers slow down to a third of the pace. */
    @Test
    fun `the typical pause follows the load`() {
        repeat(100) { record(20) }
        repeat(150) { record(60) }
        assertTrue(assertNotNull(pace.longPause(key)) > 220.milliseconds)
    }

    @Nested
    inner class Classification {
        private fun classifier(vararg milliseconds: Int) = PauseClassifier(longPause = 80.milliseconds).apply {
            milliseconds.forEach { record(it.milliseconds) }
        }

        @Test
        fun `an answer is slow once most of its pauses are long`() {
            assertFalse(classifier(160, 160).isSlow)
            assertTrue(classifier(160, 160, 160).isSlow)
            assertTrue(classifier(160, 20, 160, 160).isSlow)
        }

        /** Load pattern: a long prompt is read between two events, once or twice. */
        @Test
        fun `an answer with two long pauses among usual ones is not slow`() {
            val classifier = classifier(600, 20, 500, 20, 20)
            assertTrue(classifier.isComplete)
            assertFalse(classifier.isSlow)
            assertEquals(20.milliseconds, classifier.median)
        }

        @Test
        fun `an answer that ends early is classified by its recorded pauses`() {
            assertTrue(classifier(160, 160).apply { end() }.isSlow)
            assertFalse(classifier(160, 20).apply { end() }.isSlow)
            assertFalse(classifier().apply { end() }.isSlow)
        }

        /** Load pattern: the first pause of a slow answer alone lasts as long as ten long ones. */
        @Test
        fun `an answer with too few events in time is overdue`() {
            assertEquals(800.milliseconds, classifier().overdueAfter)
            assertTrue(classifier(600, 20).isOverdue)
            assertFalse(classifier(600, 20, 20).isOverdue)
        }

        @Test
        fun `without a typical pause no answer is slow`() {
            val classifier = PauseClassifier(longPause = null)
            repeat(5) { classifier.record(10.seconds) }
            assertFalse(classifier.isSlow)
        }
    }
}
