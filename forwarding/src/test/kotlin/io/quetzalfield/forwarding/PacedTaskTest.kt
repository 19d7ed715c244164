package io.quetzalfield.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFails
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class PacedTaskTest {
    private val time = TestTimeSource()
    private var isUrgent = false
    private var runs = 0
    private val task = PacedTask(1.seconds, time, { isUrgent }) { runs++ }

    private fun poll(times: Int) = repeat(times) {
        task.poll()
        time += 200.milliseconds
    }

    @Test
    fun `it runs once per period however often it is polled`() {
        poll(11)
        assertEquals(3, runs)
    }

    @Test
    fun `it runs at each poll while it is urgent, and the period begins anew`() {
        poll(1)
        isUrgent = true
        poll(2)
        isUrgent = false
        poll(4)
        assertEquals(3, runs)
        poll(1)
        assertEquals(4, runs)
    }

    @Test
    fun `it waits for a period after a failure too`() {
        val failing = PacedTask(1.seconds, time, { false }) {
            runs++
            error("the store is unavailable")
        }
        assertFails { failing.poll() }
        failing.poll()
        assertEquals(1, runs)
    }
}
