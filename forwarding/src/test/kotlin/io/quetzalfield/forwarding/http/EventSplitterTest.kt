package io.quetzalfield.forwarding.http

import io.netty.buffer.Unpooled
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class EventSplitterTest {
    private val splitter = EventSplitter()

    private fun add(text: String): List<Pair<Long?, String>> =
        splitter.add(Unpooled.copiedBuffer(text, Charsets.UTF_8)).map { event ->
            (event.number to event.bytes.toString(Charsets.UTF_8)).also { event.bytes.release() }
        }

    @Test
    fun `complete events are returned unchanged, with their numbers`() {
        assertEquals(
            listOf(1L to "id: 1\ndata: a\n\n", 2L to "id: 2\ndata: b\n\n"),
            add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
        )
        assertFalse(splitter.hasPartialEvent)
    }

    @Test
    fun `an event that is split at any position is returned whole`() {
        val event = "id: 12\r\ndata: some text\r\n\r\n"
        for (position in 1 until event.length) {
            val first = add(event.substring(0, position))
            val second = add(event.substring(position))
            assertEquals(listOf(12L to event), first + second, "split at $position")
            assertFalse(splitter.hasPartialEvent)
        }
    }

    @Test
    fun `an incomplete last event is buffered`() {
        assertEquals(1, add("id: 1\ndata: a\n\nid: 2\nda").size)
        assertTrue(splitter.hasPartialEvent)
    }

    @Test
    fun `an event without an id has no number`() {
        assertEquals(listOf(null to "data: a\n\n"), add("data: a\n\n"))
    }

    @Test
    fun `only the event that contains the head of a response is marked`() {
        val filledUp = "id: 1\ndata: HTTP/1.1 200 OK\r\nServer: one\r\n\r\n"
        val events = listOf("id: 0\n\n", filledUp, "id: 2\ndata: HTTP/1.1 200 OK\r\ndata: two\r\n\r\n")
        val marked = splitter.add(Unpooled.copiedBuffer(events.joinToString(""), Charsets.UTF_8)).map { event ->
            event.containsHead.also { event.bytes.release() }
        }
        assertEquals(listOf(false, true, false), marked)
    }
}
