package io.quetzalfield.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** The complete answer of an endpoint, as its caller gets it; [isToHead] for the answer to a HEAD request. */
internal fun wholeResponse(response: HttpResponse, body: ByteBuf, isToHead: Boolean): DefaultFullHttpResponse {
    val whole = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, response.status(), body)
    copyEndToEnd(response, whole)
    if (isToHead) {
        response.headers().get(HttpHeaderNames.CONTENT_LENGTH)?.let {
            whole.headers().set(HttpHeaderNames.CONTENT_LENGTH, it)
        }
    } else {
        HttpUtil.setContentLength(whole, body.readableBytes().toLong())
    }
    return whole
}

/** The head of a stream, as its caller gets it. */
internal fun streamHead(response: HttpResponse): HttpResponse {
    val head = DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status())
    copyEndToEnd(response, head)
    HttpUtil.setTransferEncodingChunked(head, true)
    return head
}

/** The response for an answer of this instance's own. */
internal fun ownResponse(answer: OwnAnswer): DefaultFullHttpResponse {
    val text = "${answer.reason.name.lowercase(Locale.ROOT)}\n"
    val whole = DefaultFullHttpResponse(
        HttpVersion.HTTP_1_1,
        HttpResponseStatus.valueOf(answer.status),
        Unpooled.copiedBuffer(text, Charsets.UTF_8),
    )
    if (answer is OwnAnswer.NotRun && answer.retryAfter != null) {
        whole.headers().set(HttpHeaderNames.RETRY_AFTER, seconds(answer.retryAfter))
    }
    HttpUtil.setContentLength(whole, text.length.toLong())
    return whole
}

/** Whether a request could not be decoded because its first line or its header is longer than the limit. */
internal val Throwable.isTooLong: Boolean
    get() = this is TooLongHttpHeaderException || this is TooLongHttpLineException

/** Tells a caller that waits for it to send its body. */
internal fun continueResponse(): DefaultFullHttpResponse =
    DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER)

private fun seconds(duration: Duration) = String.format(Locale.ROOT, "%.2f", duration.toDouble(DurationUnit.SECONDS))

private fun copyEndToEnd(from: HttpResponse, to: HttpResponse) {
    val named = headersNamedByConnection(from.headers())
    for ((name, value) in from.headers()) {
        val lower = name.lowercase()
        if (lower !in ConnectionHeaders && lower !in named) to.headers().add(name, value)
    }
}
