package io.quetzalfield.forwarding.choice

import io.quetzalfield.model.ModelId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class AnswerPaceTest {
    private val pace = AnswerPace()
    private val key = PaceKey("chat", ModelId("small"))

    private fun note(vararg milliseconds: Int) = milliseconds.forEach { pace.note(key, it.milliseconds) }

    @Test
    fun `nothing is slow before enough answers are known`() {
        note(20, 20, 20, 20)
        assertNull(pace.slowPause(key))
        note(20)
        assertEquals(60.milliseconds, pace.slowPause(key))
    }

    @Test
    fun `routes and models are told apart`() {
        note(20, 20, 20, 20, 20)
        assertNull(pace.slowPause(PaceKey("chat", ModelId("large"))))
        assertNull(pace.slowPause(PaceKey("plan", ModelId("small"))))
    }

    /** Load pattern: batches fill, so that all answers come at a third of the pace. */
    @Test
    fun `the usual pause follows the load`() {
        repeat(100) { note(20) }
        repeat(150) { note(60) }
        assertTrue(assertNotNull(pace.slowPause(key)) > 170.milliseconds)
    }

    @Test
    fun `eight times the usual pause is slow, and twice is not`() {
        val random = Random(1)
        repeat(200) { note(20 + random.nextInt(-10, 20)) }
        val slow = assertNotNull(pace.slowPause(key))
        assertTrue(slow in 40.milliseconds..160.milliseconds, "slow from $slow")
    }
}
