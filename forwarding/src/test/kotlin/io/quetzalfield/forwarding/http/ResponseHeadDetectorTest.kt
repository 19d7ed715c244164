package io.quetzalfield.forwarding.http

import io.netty.buffer.Unpooled
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.buffer.UnpooledHeapByteBuf
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** The beginning of another response is found in a body, with work that grows in proportion to the body's length. */
class ResponseHeadDetectorTest {
    private fun detectorAfter(vararg pieces: String) = ResponseHeadDetector().also { detector ->
        pieces.forEach { detector.add(Unpooled.copiedBuffer(it, Charsets.ISO_8859_1)) }
    }

    @Nested
    inner class Heads {
        private val head = "HTTP/1.1 200 OK\r\nServer: one\r\n"

        @Test
        fun `a status line and a header are a head wherever the body is split`() {
            val body = "the beginning$head"
            for (position in 1 until body.length) {
                val detector = detectorAfter(body.substring(0, position), body.substring(position))
                assertTrue(detector.containsHead, "split at $position")
            }
        }

        @ParameterizedTest
        @ValueSource(
            strings = [
                "HTTP/1.1 200 OK\r\ndata: text",
                "HTTP/1.1 200 OK\r\nid: 1",
                "HTTP/1.1 200 OK\r\n: a comment",
                "HTTP/1.1 200 OK\nServer: one",
                "HTTP/1.1 200 OK\r\r\nServer: one",
                "HTTP/1.1 200 OK\r\n\r\nServer: one",
                "HTTP/1.1 200 OK\r\nnot a name: one",
            ],
        )
        fun `a quoted status line is not a head`(body: String) {
            assertTrue(detectorAfter(body).containsStatusLine)
            assertFalse(detectorAfter(body).containsHead)
        }

        @Test
        fun `a status line directly before another one is a part of a head`() {
            assertTrue(detectorAfter("HTTP/1.1 200 OK\r\n$head").containsHead)
        }

        @Test
        fun `random bodies are judged as by the definition of a head`() {
            val definition = Regex("""HTTP/\d\.\d \d{3}[^\r\n]*\r\n(?!data:|id:|event:|retry:)[!-9;-~]+:""")
            val random = Random(SEED)
            val pieces = listOf("HTTP/1.1 200", "HTTP/1.", "HTTP/", "H", "200", " OK", " ") +
                listOf("\r\n", "\r", "\n", "Server:", "data:", "retries:", "id", ":")
            val found = (1..BODIES).count {
                val body = (1..random.nextInt(2, 10)).joinToString("") { pieces.random(random) }
                val detector = detectorAfter(body)
                assertEquals(definition.containsMatchIn(body), detector.containsHead, "body: $body")
                val statusLine = Regex("""HTTP/\d\.\d \d{3}""").containsMatchIn(body)
                assertEquals(statusLine, detector.containsStatusLine, "body: $body")
                detector.containsHead
            }
            assertTrue(found > 0, "no body contained a head")
        }
    }

    @Nested
    inner class Endings {
        @Test
        fun `a body that is filled up with a response is detected wherever the body ends in it`() {
            val next = "HTTP/1.1 200 "
            for (length in 1..next.length) {
                val detector = detectorAfter("the beginning${next.take(length)}")
                assertTrue(detector.isFilledUp(next.drop(length)), "with $length bytes")
            }
        }

        @Test
        fun `a whole body that is followed by a response or by other bytes is not`() {
            assertFalse(detectorAfter("a whole body").isFilledUp("HTTP/1.1 200 OK\r"))
            assertFalse(detectorAfter("a whole body").isFilledUp("garbage"))
            assertFalse(detectorAfter("a whole body HTTP").isFilledUp("garbage"))
        }
    }

    /** An answer of 192 KB in which a status line was repeated without an end of line stopped a process for 45 s. */
    @Nested
    inner class Work {
        /** Counts the bytes that are read. */
        private inner class CountingBuffer(content: ByteArray) :
            UnpooledHeapByteBuf(UnpooledByteBufAllocator.DEFAULT, content, content.size) {
            var reads = 0L
                private set

            override fun _getByte(index: Int): Byte = super._getByte(index).also { reads++ }

            override fun getByte(index: Int): Byte = _getByte(index)
        }

        private fun spoilt(length: Int) = "HTTP/1.1 200 OK ".repeat(length / "HTTP/1.1 200 OK ".length).toByteArray()

        private fun readsOfBody(length: Int): Long {
            val buffer = CountingBuffer(spoilt(length))
            assertTrue(ResponseHeadDetector().apply { add(buffer) }.containsStatusLine)
            return buffer.reads
        }

        private fun readsOfEvent(length: Int): Long {
            val buffer = CountingBuffer(spoilt(length))
            EventSplitter().use { splitter -> assertEquals(emptyList(), splitter.add(buffer)) }
            return buffer.reads
        }

        /** The first byte is also read in the search for the beginning of a status line. */
        @Test
        fun `each byte of a body is read once`() {
            assertTrue(readsOfBody(SHORT) in SHORT..SHORT + 1, "reads of $SHORT bytes: ${readsOfBody(SHORT)}")
            assertTrue(readsOfBody(LONG) in LONG..LONG + 1, "reads of $LONG bytes: ${readsOfBody(LONG)}")
        }

        @Test
        fun `each byte of an event is read once`() {
            assertEquals(SHORT.toLong(), readsOfEvent(SHORT))
            assertEquals(LONG.toLong(), readsOfEvent(LONG))
        }
    }

    private companion object {
        const val SEED = 63
        const val BODIES = 20_000
        const val SHORT = 48 * 1024
        const val LONG = 192 * 1024
    }
}
