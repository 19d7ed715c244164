package io.quetzalfield.forwarding.http

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** An endpoint breaks a response off and begins another one on the same connection. */
class ResponseHeadCheckTest {
    private val head = "HTTP/1.1 200 OK\r\nServer: one\r\nContent-Type: text/plain\r\nContent-Length: 0\r\n\r\n"

    private fun decode(text: String): HttpResponse {
        val channel = EmbeddedChannel(HttpResponseDecoder())
        channel.writeInbound(Unpooled.copiedBuffer(text, Charsets.ISO_8859_1))
        return channel.readInbound<HttpResponse>().also { channel.finishAndReleaseAll() }
    }

    @Nested
    inner class Heads {
        @Test
        fun `a single head has no defect`() {
            assertNull(ResponseHeadCheck.defectOf(decode(head)))
            assertNull(ResponseHeadCheck.defectOf(decode("HTTP/1.0 404 Not Found\r\nVia: HTTP/1.1 proxy\r\n\r\n")))
        }

        @Test
        fun `the beginning of a head before another one is detected at each of its lengths`() {
            val undetected = (1 until head.length).filter { length ->
                val response = decode(head.take(length) + head.replace("200 OK", "500 Failed"))
                !response.decoderResult().isFailure && ResponseHeadCheck.defectOf(response) == null
            }
            assertEquals(emptyList(), undetected)
        }
    }
}
