package io.quetzalfield.forwarding.choice

import io.quetzalfield.model.ServiceId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Load pattern: ten times the requests that the limits allow are refused at every instance. */
class ReturnScheduleTest {
    private val time = TestTimeSource()
    private val service = ServiceId("bookings")
    private val schedule = ReturnSchedule(time, Random(7))

    private fun delay(perSecond: Double = 1.0, remaining: Duration = 15.seconds) =
        schedule.delay(service, perSecond, remaining)

    @Test
    fun `callers return about as often as the limits allow requests`() {
        val delays = List(10) { delay() }
        assertEquals(delays, delays.sorted())
        assertTrue(delays.zipWithNext().all { (earlier, later) -> later - earlier in 500.milliseconds..1.seconds })
    }

    @Test
    fun `no time is kept free for callers that cannot use it`() {
        val delays = List(100) { delay(remaining = 3.seconds) }
        assertTrue(delays.last() < 5.seconds, "${delays.last()}")
    }

    @Test
    fun `instances that assign times independently do not return their callers together`() {
        val delays = (1..20).map { ReturnSchedule(time, Random(it)).delay(service, perSecond = 0.1, 15.seconds) }
        assertEquals(20, delays.distinct().size)
        assertTrue(delays.max() - delays.min() > 3.seconds, "${delays.min()} to ${delays.max()}")
    }

    @Test
    fun `the times of services are independent, and past ones are free again`() {
        repeat(10) { delay() }
        assertTrue(schedule.delay(ServiceId("advisor"), perSecond = 1.0, 15.seconds) <= 1.seconds)
        time += 20.seconds
        assertTrue(delay() <= 1.seconds)
    }

    @Test
    fun `without any rate the delay is long but bounded`() {
        assertTrue(delay(perSecond = 0.0) in 15.seconds..30.seconds)
        assertTrue(delay(perSecond = 1e-12) in 15.seconds..30.seconds)
    }
}
