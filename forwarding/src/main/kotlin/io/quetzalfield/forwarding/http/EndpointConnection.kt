package io.quetzalfield.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.AsciiString
import io.netty.util.ReferenceCountUtil
import io.quetzalfield.model.HostPort
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Receives what comes back on a connection for one request. */
public interface ResponseListener {
    /** The response's head has come. `false` if the response belongs to another request and is to be skipped. */
    public fun onHead(response: HttpResponse): Boolean

    /** A part of the body has come; the listener releases it. */
    public fun onContent(content: ByteBuf)

    /** The response is whole. */
    public fun onEnd()

    /**
     * The connection cannot be used any more, before the response was whole. [isLost] if the endpoint or the network
     * closed it, and not this instance because of what came on it.
     */
    public fun onBroken(reason: String, isLost: Boolean)
}

/** A connection to an endpoint, which carries one request at a time. Used on the event loop only. */
public class EndpointConnection(
    public val address: HostPort,
    private val timeSource: TimeSource.WithComparableMarks,
    private val onClosed: (EndpointConnection) -> Unit,
    private val onIdle: (EndpointConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private var listener: ResponseListener? = null
    private var isSkipping = false
    private var isReset = false
    private var isWritten = true
    private var skipped = 0
    private var skippedBytes = 0L
    private var informational = 0
    private var isKept = true
    private var requestMethod: HttpMethod = HttpMethod.GET

    /** The channel, from the start of connecting. */
    public lateinit var channel: Channel
        private set

    /** When the connection became idle. */
    public var idleSince: ComparableTimeMark = timeSource.markNow()
        private set

    /** How long the endpoint keeps the connection open while it is idle. */
    public var keepAlive: Duration = DefaultKeepAlive
        private set

    internal val initializer = object : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            channel.pipeline().addLast(MethodAwareDecoder(), HttpRequestEncoder(), this@EndpointConnection)
        }
    }

    /** Sends [request] with [body], whose reference passes on. */
    public fun send(request: HttpRequest, body: ByteBuf, listener: ResponseListener) {
        check(this.listener == null) { "the connection to $address already carries a request" }
        this.listener = listener
        requestMethod = request.method()
        isWritten = false
        skipped = 0
        skippedBytes = 0
        informational = 0
        channel.write(request)
        channel.writeAndFlush(DefaultLastHttpContent(body)).addListener { isWritten = it.isSuccess }
    }

    /** Closes the connection; its listener hears nothing more. */
    public fun abandon() {
        listener = null
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
            fail(if (current == null) "bytes without a request" else "unreadable response")
            return
        }
        if (message is HttpResponse) readHead(current, message)
        if (message is HttpContent) readContent(message)
    }

    private fun readHead(current: ResponseListener, response: HttpResponse) {
        if (response.status().code() < FIRST_FINAL_STATUS) {
            isSkipping = true
            if (++informational > MOST_INFORMATIONAL) fail("informational responses without end")
            return
        }
        isKept = HttpUtil.isKeepAlive(response) && isFramed(response)
        keepAliveOf(response)?.let { keepAlive = it }
        isSkipping = !current.onHead(response)
        if (isSkipping && ++skipped > MOST_SKIPPED) fail("too many responses to other requests")
    }

    private fun readContent(content: HttpContent) {
        val current = listener
        if (current == null || isSkipping) {
            skippedBytes += content.content().readableBytes()
            content.release()
            if (skippedBytes > MOST_SKIPPED_BYTES) return fail("too many bytes of responses to other requests")
            if (content is LastHttpContent) isSkipping = false
            return
        }
        if (content.content().isReadable) current.onContent(content.content()) else content.release()
        // The listener may have abandoned the connection, or the end is one that a reset made up.
        if (content is LastHttpContent && listener === current && !isReset) finish(current)
    }

    private fun finish(current: ResponseListener) {
        listener = null
        idleSince = timeSource.markNow()
        if (isKept && isWritten && channel.isActive) onIdle(this) else channel.close()
        current.onEnd()
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        isReset = true
        fail(cause.message ?: cause.javaClass.simpleName, isLost = true)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        fail("closed by the endpoint", isLost = true)
        onClosed(this)
    }

    private fun fail(reason: String, isLost: Boolean = false) {
        val current = listener
        listener = null
        channel.close()
        current?.onBroken(reason, isLost)
    }

    private fun isFramed(response: HttpMessage) =
        HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response)

    private fun keepAliveOf(response: HttpResponse): Duration? = response.headers().get(KEEP_ALIVE)
        ?.split(',')
        ?.firstNotNullOfOrNull { it.trim().takeIf { part -> part.startsWith(TIMEOUT) }?.removePrefix(TIMEOUT) }
        ?.toIntOrNull()?.seconds

    private inner class MethodAwareDecoder : HttpResponseDecoder(HttpDecoderConfig()) {
        override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
            requestMethod == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)
    }

    private companion object {
        const val FIRST_FINAL_STATUS = 200
        const val TIMEOUT = "timeout="

        /** A runner sends at most one extra response to a request; more are not worth waiting for. */
        const val MOST_SKIPPED = 3

        /** Bytes of the bodies of such responses. */
        const val MOST_SKIPPED_BYTES = 1024 * 1024L

        /** Informational responses to one request; servers send one or two. */
        const val MOST_INFORMATIONAL = 8

        /** A common idle timeout of HTTP servers, for endpoints that state none. */
        val DefaultKeepAlive = 5.seconds
        val KEEP_ALIVE: CharSequence = AsciiString.cached("keep-alive")
    }
}
