package io.quetzalfield.forwarding.endpoints

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class SendPartTest {
    private val time = TestTimeSource()
    private val part = SendPart().apply { empty(time.markNow()) }

    private fun allows(perSecond: Double) = part.allows(time.markNow(), perSecond)

    private fun send() = part.recordSend(time.markNow())

    @Test
    fun `nothing is saved up before the limit`() {
        assertFalse(allows(0.5))
        time += 1.9.seconds
        assertFalse(allows(0.5))
        time += 0.2.seconds
        assertTrue(allows(0.5))
    }

    @Test
    fun `an idle part saves one request, and a large one half a second's`() {
        allows(0.5)
        time += 60.seconds
        assertTrue(allows(0.5))
        send()
        assertFalse(allows(0.5))
        time += 60.seconds
        val atOnce = generateSequence { allows(20.0).also { if (it) send() } }.takeWhile { it }.count()
        assertEquals(10, atOnce)
    }

    /** Load pattern: the instance had sent many requests when the endpoint named its limit. */
    @Test
    fun `after a burst nothing is sent until the window allows it`() {
        repeat(20) { send() }
        part.empty(time.markNow())
        time += 3.9.seconds
        assertFalse(allows(1.0))
        assertEquals(100.milliseconds, part.timeUntilAllowed(time.markNow(), 1.0))
        time += 100.milliseconds
        assertTrue(allows(1.0))
    }

    @Test
    fun `a part that is lost saves nothing for later`() {
        allows(1.0)
        time += 10.seconds
        assertEquals(Duration.INFINITE, part.timeUntilAllowed(time.markNow(), 0.0))
        assertFalse(allows(1.0))
    }
}
