package io.quetzalfield.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.quetzalfield.model.VersionId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

private class RecordingReply : CallerReply {
    var parts = 0
    override val isWritable: Boolean = true
    override fun sendComplete(response: HttpResponse, body: ByteBuf) = error("unexpected complete response")
    override fun sendStreamHead(response: HttpResponse) = Unit
    override fun sendStreamContent(content: ByteBuf) {
        parts++
    }

    override fun endStream() = Unit
    override fun sendOwn(answer: OwnAnswer) = Unit
    override fun abortStream() = Unit
}

class StreamProgressTest {
    private val reply = RecordingReply()

    private fun event(number: Long?) = StreamEvent(Unpooled.EMPTY_BUFFER, number)

    private fun StreamProgress.begin() =
        begin(DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK), VersionId("v1"), after = 1.seconds)

    @Test
    fun `events that the caller already has are not forwarded again`() {
        val progress = StreamProgress(reply, resumeAfter = 4)
        assertEquals(EventDisposition.REPEATED, progress.dispositionOf(event(4)))
        assertEquals(EventDisposition.PASSED, progress.dispositionOf(event(5)))
    }

    @Test
    fun `a gap is detected once a stream has begun`() {
        val progress = StreamProgress(reply, resumeAfter = null)
        assertFalse(progress.hasBegun)
        progress.begin()
        progress.forward(event(1))
        assertTrue(progress.hasBegun)
        assertEquals(EventDisposition.GAP, progress.dispositionOf(event(3)))
        assertEquals(EventDisposition.PASSED, progress.dispositionOf(event(2)))
        assertEquals(1, reply.parts)
    }

    @Test
    fun `events without a number are always forwarded`() {
        val progress = StreamProgress(reply, resumeAfter = 4)
        progress.begin()
        assertEquals(EventDisposition.PASSED, progress.dispositionOf(event(null)))
    }
}
