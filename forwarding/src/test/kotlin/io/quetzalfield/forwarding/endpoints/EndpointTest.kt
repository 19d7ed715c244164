package io.quetzalfield.forwarding.endpoints

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class EndpointTest {
    private val timeSource = TestTimeSource()
    private val endpoint = Endpoint(description("one"))

    private fun pauseAfterFailure(): Long {
        val now = timeSource.markNow()
        endpoint.recordFailure(now)
        return (checkNotNull(endpoint.avoidedUntil) - now).inWholeMilliseconds
    }

    @Test
    fun `pauses double with each failure in a row, up to a bound`() {
        assertEquals(listOf(500L, 1_000L, 2_000L, 4_000L, 4_000L), List(5) { pauseAfterFailure() })
    }

    @Test
    fun `an answer resets the pause`() {
        repeat(3) { pauseAfterFailure() }
        endpoint.recordSuccess()
        assertEquals(500L, pauseAfterFailure())
    }

    @Test
    fun `a full endpoint is avoided briefly`() {
        val now = timeSource.markNow()
        endpoint.recordRefusal(now)
        timeSource += 1.seconds
        assertEquals(150.milliseconds, checkNotNull(endpoint.avoidedUntil) - now)
    }

    @Test
    fun `a restart resets failures`() {
        pauseAfterFailure()
        endpoint.resetAfterRestart()
        assertNull(endpoint.avoidedUntil)
    }

    @Nested
    inner class TimeFactor {
        private fun state(timeFactor: Double?) {
            endpoint.load = EndpointLoad(running = 1, waiting = 0, slots = 4, timeFactor)
            endpoint.loadReportedAt = timeSource.markNow()
        }

        @Test
        fun `an endpoint that states none counts as usual`() {
            state(timeFactor = null)
            assertFalse(endpoint.statesTimeFactor)
            assertEquals(1.0, endpoint.slownessAt(timeSource.markNow()))
        }

        @Test
        fun `a stated one counts in place of what was learnt, and that counts after a second`() {
            state(timeFactor = 4.0)
            repeat(40) { endpoint.speed.record(0.7, timeSource.markNow()) }
            assertEquals(4.0, endpoint.slownessAt(timeSource.markNow()))
            assertEquals(0.7, endpoint.slownessAt(timeSource.markNow() + 2.seconds), absoluteTolerance = 0.05)
        }

        @Test
        fun `a stated one is worth little after a second`() {
            state(timeFactor = 4.0)
            val start = timeSource.markNow()
            assertTrue(endpoint.statesTimeFactor)
            assertEquals(4.0, endpoint.slownessAt(start))
            assertEquals(2.0, endpoint.slownessAt(start + 300.milliseconds), absoluteTolerance = 0.01)
            assertTrue(endpoint.slownessAt(start + 1.seconds) < 1.2)
        }
    }
}
