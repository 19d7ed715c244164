package io.quetzalfield.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.AsciiString
import io.netty.util.ReferenceCountUtil
import io.quetzalfield.forwarding.DecisionLog
import io.quetzalfield.forwarding.UnexpectedBytes
import io.quetzalfield.model.HostPort
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** How the end of a response was recognized. */
public sealed interface ResponseEnd {
    /** By its length or the end of its last chunk. */
    public data object Marked : ResponseEnd

    /** Likewise, while further bytes have been received that begin with [beginning] and belong to no request. */
    public data class Followed(val beginning: String) : ResponseEnd

    /** By the end of the connection, which does not show that the endpoint had sent all of it. */
    public data object ConnectionClosed : ResponseEnd
}

/** Receives the response to one request on an [EndpointConnection]. */
public interface ResponseListener {
    /** Called for the response head. Returns `false` if it belongs to another request and the response is skipped. */
    public fun onHead(response: HttpResponse): Boolean

    /** Called for each part of the body, which the listener releases. */
    public fun onContent(content: ByteBuf)

    /** Called when the response has ended. */
    public fun onEnd(end: ResponseEnd)

    /**
     * Called when the connection fails before the response is complete. [isConnectionLost] if the endpoint or the
     * network closed it, and not this instance because of what it received.
     */
    public fun onFailure(reason: String, isConnectionLost: Boolean)
}

/**
 * A connection to an endpoint, which carries one request at a time. Used on the event loop only.
 *
 * @property number identifies the connection in log lines.
 * @property generation number of the connections to [address] that were opened before the same end of its process.
 */
public class EndpointConnection(
    public val address: HostPort,
    private val timeSource: TimeSource.WithComparableMarks,
    private val onClosed: (EndpointConnection) -> Unit,
    private val onIdle: (EndpointConnection) -> Unit,
    private val onBrokenUnasked: () -> Unit = {},
    private val onUnexpectedBytes: (UnexpectedBytes) -> Unit = {},
    public val number: Long = 0,
    internal val generation: Int = 0,
) : ChannelInboundHandlerAdapter() {
    private var listener: ResponseListener? = null
    private var isSkipping = false

    /** Whether this instance has closed the connection, or its end was noted. */
    private var isEnding = false
    private var isAnswering = false
    private var isWritten = true
    private var skippedResponses = 0
    private var skippedBytes = 0L
    private var informationalResponses = 0
    private var isReusable = true
    private var endsWithConnection = false

    /** Whether a response to another request than the present one has been received. */
    public var hasCarriedResponse: Boolean = false
        private set

    /** Time at which this instance began to open the connection. */
    public val openedAt: ComparableTimeMark = timeSource.markNow()

    /** The channel; set when connecting starts. */
    public lateinit var channel: Channel
        private set

    /** When the connection became idle. */
    public var idleSince: ComparableTimeMark = timeSource.markNow()
        private set

    /** How long the endpoint keeps the connection open while it is idle. */
    public var keepAlive: Duration = DefaultKeepAlive
        private set

    private val decoder = EndpointResponseDecoder()

    internal val initializer = object : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            channel.pipeline().addLast(IdleByteGuard(), decoder, HttpRequestEncoder(), this@EndpointConnection)
        }
    }

    /** Sends [request] with [body], which is released. The response goes to [listener]. */
    public fun send(request: HttpRequest, body: ByteBuf, listener: ResponseListener) {
        check(this.listener == null) { "the connection to $address already carries a request" }
        this.listener = listener
        decoder.requestMethod = request.method()
        isAnswering = false
        isWritten = false
        skippedResponses = 0
        skippedBytes = 0
        informationalResponses = 0
        // The caller of the request before may have stopped reading as its response ended.
        channel.config().isAutoRead = true
        channel.write(request)
        channel.writeAndFlush(DefaultLastHttpContent(body)).addListener { isWritten = it.isSuccess }
    }

    /** Closes the connection without calling its listener. */
    public fun abandon() {
        listener = null
        isEnding = true
        channel.close()
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val current = listener
        val decoded = message as? HttpObject
        if (current == null || decoded == null || decoded.decoderResult().isFailure) {
            ReferenceCountUtil.release(message)
            fail(if (current == null) "received bytes without a request" else reasonOf(decoded))
            return
        }
        if (message is HttpResponse) readHead(current, message)
        if (message is HttpContent) readContent(message)
    }

    private fun reasonOf(malformed: HttpObject?): String {
        val cause = malformed?.decoderResult()?.cause()?.message?.take(REASON_LENGTH)
        return "malformed response: ${cause ?: "bytes of another protocol"}"
    }

    private fun readHead(current: ResponseListener, response: HttpResponse) {
        val defect = ResponseHeadCheck.defectOf(response)
        if (defect != null) return fail("malformed response: $defect")
        if (response.status().code() < FIRST_FINAL_STATUS) {
            isSkipping = true
            if (++informationalResponses > INFORMATIONAL_RESPONSE_LIMIT) fail("too many informational responses")
            return
        }
        isAnswering = true
        isReusable = HttpUtil.isKeepAlive(response) && isFramed(response)
        endsWithConnection = !isFramed(response) && !decoder.hasNoBody(response)
        keepAliveOf(response)?.let { keepAlive = it }
        isSkipping = !current.onHead(response)
        hasCarriedResponse = hasCarriedResponse || isSkipping
        if (isSkipping && ++skippedResponses > SKIPPED_RESPONSE_LIMIT) fail("too many responses to other requests")
    }

    private fun readContent(content: HttpContent) {
        val current = listener
        if (current == null || isSkipping) {
            skippedBytes += content.content().readableBytes()
            content.release()
            if (skippedBytes > SKIPPED_BYTES_LIMIT) return fail("too many bytes of responses to other requests")
            if (content is LastHttpContent) isSkipping = false
            return
        }
        if (content.content().isReadable) current.onContent(content.content()) else content.release()
        // The listener may have abandoned the connection.
        if (content is LastHttpContent && listener === current && isEndSent()) finish(current)
    }

    /**
     * Whether the endpoint has sent the end of the response. The decoder takes any close for the end of one without
     * length, also the close that follows when a write of the request meets a reset.
     */
    private fun isEndSent() = !endsWithConnection || (channel as EndpointChannel).isInputEnded

    private fun finish(current: ResponseListener) {
        listener = null
        hasCarriedResponse = true
        idleSince = timeSource.markNow()
        val following = decoder.undecodedBeginning()
        if (following.isNotEmpty()) reportUnexpected(UnexpectedBytes.AFTER_RESPONSE, decoder.undecodedBytes)
        // More may follow an extra response, and its beginning would be taken for that of the next one.
        val isClean = following.isEmpty() && skippedResponses == 0
        val mayCarryAnother = isClean && isReusable && isWritten
        if (mayCarryAnother && channel.isActive) onIdle(this) else abandon()
        current.onEnd(
            when {
                endsWithConnection -> ResponseEnd.ConnectionClosed
                following.isNotEmpty() -> ResponseEnd.Followed(following)
                else -> ResponseEnd.Marked
            },
        )
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        noteBreak()
        fail(cause.message ?: cause.javaClass.simpleName, isConnectionLost = true)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        noteBreak()
        fail("closed by the endpoint", isConnectionLost = true)
        onClosed(this)
    }

    /** Reports an end that is no reaction to a request: one of an idle connection, or in the middle of a response. */
    private fun noteBreak() {
        if (!isEnding && (listener == null || isAnswering)) onBrokenUnasked()
        isEnding = true
    }

    private fun fail(reason: String, isConnectionLost: Boolean = false) {
        val current = listener
        listener = null
        isEnding = true
        channel.close()
        current?.onFailure(reason, isConnectionLost)
    }

    private fun reportUnexpected(time: UnexpectedBytes, bytes: Int) {
        onUnexpectedBytes(time)
        DecisionLog.write(
            "unexpected_bytes",
            "address" to address,
            "connection" to number,
            "when" to time,
            "bytes" to bytes,
        )
    }

    private fun isFramed(response: HttpMessage) =
        HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response)

    private fun keepAliveOf(response: HttpResponse): Duration? = response.headers().get(KEEP_ALIVE)
        ?.split(',')
        ?.firstNotNullOfOrNull { it.trim().takeIf { part -> part.startsWith(TIMEOUT) }?.removePrefix(TIMEOUT) }
        ?.toIntOrNull()?.seconds

    /**
     * Closes the connection when bytes arrive that no request asked for, also if they are not a whole message yet: the
     * decoder would take them for the beginning of the next response.
     */
    private inner class IdleByteGuard : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (listener != null || message !is ByteBuf) {
                context.fireChannelRead(message)
                return
            }
            reportUnexpected(UnexpectedBytes.WHILE_IDLE, message.readableBytes())
            message.release()
            isEnding = true
            context.close()
        }
    }

    private companion object {
        const val FIRST_FINAL_STATUS = 200
        const val TIMEOUT = "timeout="

        /** Skipped responses to one request; a runner sends at most one extra response. */
        const val SKIPPED_RESPONSE_LIMIT = 3

        /** Bytes of the bodies of skipped responses to one request. */
        const val SKIPPED_BYTES_LIMIT = 1024 * 1024L

        /** Informational responses to one request; servers usually send one or two. */
        const val INFORMATIONAL_RESPONSE_LIMIT = 8

        /** Characters of a decoding failure that are logged. */
        const val REASON_LENGTH = 120

        /** A common idle timeout of HTTP servers, used for endpoints that do not send theirs. */
        val DefaultKeepAlive = 5.seconds
        val KEEP_ALIVE: CharSequence = AsciiString.cached("keep-alive")
    }
}
