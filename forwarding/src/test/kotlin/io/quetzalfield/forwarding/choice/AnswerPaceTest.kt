package io.quetzalfield.forwarding.choice

import io.quetzalfield.model.ModelId
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
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
        assertEquals(40.milliseconds, pace.longPause(key))
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
        assertEquals(120.milliseconds, pace.longPause(key))
    }

    /** Load pattern: at the start of the traffic endpoints read prompts all the while, and answers are interrupted. */
    @Test
    fun `a few slow answers do not make the typical pause longer`() {
        record(900, 30, 1_400, 30, 30, 30, 30)
        assertEquals(60.milliseconds, pace.longPause(key))
    }

    @Nested
    inner class Classification {
        private fun classifier(vararg milliseconds: Int) = PauseClassifier(longPause = 80.milliseconds).apply {
            milliseconds.forEach { record(it.milliseconds) }
        }

        @Test
        fun `an answer is slow once all of its pauses but one are long`() {
            assertFalse(classifier(160, 160, 160).isSlow)
            assertTrue(classifier(160, 160, 160, 160).isSlow)
            assertTrue(classifier(160, 20, 160, 160, 160).isSlow)
        }

        /** Load pattern: long prompts are read between two events, up to three times. */
        @Test
        fun `an answer with several long pauses among usual ones is not slow`() {
            for (pauses in listOf(intArrayOf(600, 20, 500, 20, 20), intArrayOf(600, 20, 500, 20, 700))) {
                val classifier = classifier(*pauses)
                assertTrue(classifier.isComplete)
                assertFalse(classifier.isSlow)
                assertFalse(classifier.apply { end() }.isSlow)
            }
            assertEquals(20.milliseconds, classifier(600, 20, 500, 20, 20).median)
        }

        @Test
        fun `an answer that ends early is classified by its recorded pauses`() {
            assertTrue(classifier(160, 160).apply { end() }.isSlow)
            assertFalse(classifier(160, 20).apply { end() }.isSlow)
            assertFalse(classifier().apply { end() }.isSlow)
        }

        /** Load pattern: the first pause of a slow answer alone lasts as long as twenty long ones. */
        @Test
        fun `an answer with too few events in time is overdue`() {
            assertEquals(1_600.milliseconds, classifier().overdueAfter)
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
