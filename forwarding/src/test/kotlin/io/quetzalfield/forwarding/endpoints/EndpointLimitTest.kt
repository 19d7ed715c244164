package io.quetzalfield.forwarding.endpoints

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class EndpointLimitTest {
    private val time = TestTimeSource()
    private val limit = EndpointLimit()

    private fun state(perSecond: Double?) = limit.update(perSecond, time.markNow())

    private fun rate() = limit.rateAt(time.markNow())

    @Test
    fun `an endpoint that names no limit has none`() {
        assertEquals(LimitChange.NONE, state(null))
        assertNull(rate())
    }

    @Test
    fun `the newest statement is in force`() {
        assertEquals(LimitChange.NAMED, state(3.0))
        assertEquals(LimitChange.NONE, state(3.0))
        time += 10.milliseconds
        assertEquals(LimitChange.CHANGED, state(1.5))
        assertEquals(1.5, rate())
    }

    @Test
    fun `older news that arrive late change nothing`() {
        val earlier = time.markNow()
        time += 1.seconds
        state(2.0)
        assertEquals(LimitChange.NONE, limit.update(9.0, earlier))
        assertEquals(LimitChange.NONE, limit.update(null, earlier))
        assertEquals(2.0, rate())
    }

    /** Load pattern: all instances return at once to an endpoint that has just recovered. */
    @Test
    fun `after the end of a limit the rate grows in steps and is then free`() {
        state(2.0)
        time += 1.seconds
        assertEquals(LimitChange.ENDED, state(null))
        assertNull(limit.requestsPerSecond)
        assertEquals(
            listOf<Double?>(2.0, 4.0, 8.0, 16.0, 32.0, 64.0, null),
            List(7) {
                rate().also { time += 1.seconds }
            },
        )
    }

    @Test
    fun `a limit that is named again while the rate grows is in force at once`() {
        state(2.0)
        state(null)
        time += 3.seconds
        assertEquals(LimitChange.NAMED, state(2.0))
        assertEquals(2.0, rate())
    }

    /** An instance that was cut off as a limit ended, and has no part of it, would otherwise never send again. */
    @Test
    fun `a limit that no answer confirms ends in steps, as its end may have been missed`() {
        state(1.0)
        time += 9.seconds
        assertEquals(1.0, rate())
        time += 2.seconds
        assertEquals(2.0, rate())
        time += 6.seconds
        assertNull(rate())
        assertEquals(LimitChange.NONE, state(1.0))
        assertEquals(1.0, rate())
    }

    @Test
    fun `an endpoint that names zero is still asked now and then, as only an answer ends the limit`() {
        state(0.0)
        assertEquals(0.1, rate())
        time += 60.seconds
        assertEquals(0.1, rate())
    }

    @Test
    fun `a limit does not outlive the start that named it`() {
        val endpoint = Endpoint(description("runner-1"))
        endpoint.limit.update(1.0, time.markNow())
        endpoint.resetAfterRestart()
        assertNull(endpoint.limit.rateAt(time.markNow()))
    }
}
