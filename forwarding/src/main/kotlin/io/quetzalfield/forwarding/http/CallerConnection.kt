package io.quetzalfield.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.ScheduledFuture
import io.quetzalfield.forwarding.DecisionLog
import io.quetzalfield.forwarding.configuration.CallerLimits
import io.quetzalfield.forwarding.schedule
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** A caller's connection. Handles one request at a time and queues pipelined ones. */
public class CallerConnection(private val context: RoutingContext, private val registry: CallerConnections) :
    ChannelInboundHandlerAdapter(),
    CallerReply {
    private lateinit var channelContext: ChannelHandlerContext
    private val queue = ArrayDeque<HttpObject>()
    private var message: HttpRequest? = null
    private var body: CompositeByteBuf? = null
    private var exchange: Exchange? = null
    private var isKeepAlive = true
    private var isClosing = false
    private var timer: ScheduledFuture<*>? = null

    /** Whether a part of a request header has been received; the header timeout runs from its first byte. */
    private var isReadingHeader = false

    /** When the body that is being read must be complete. */
    private var bodyDeadline = context.timeSource.markNow()

    /** Whether no request is being read or answered. */
    public val isIdle: Boolean get() = message == null && exchange == null && queue.isEmpty()

    private val limits: CallerLimits get() = context.configuration.current?.limits ?: CallerLimits()

    override val isWritable: Boolean get() = channelContext.channel().isWritable

    override fun handlerAdded(context: ChannelHandlerContext) {
        channelContext = context
    }

    override fun channelActive(context: ChannelHandlerContext) {
        registry.add(this)
        startIdleTimer()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        registry.remove(this)
        timer?.cancel(false)
        exchange?.cancel()
        exchange = null
        body?.release()
        body = null
        queue.forEach(ReferenceCountUtil::release)
        queue.clear()
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        DecisionLog.write("caller_connection_lost", "reason" to cause.message)
        context.close()
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (isWritable) exchange?.resumeReading()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message !is HttpObject || isClosing) {
            ReferenceCountUtil.release(message)
            return
        }
        queue.addLast(message)
        // Stops reading from a caller that pipelines too far ahead, until its queued requests have been handled.
        if (exchange != null && queue.size > QUEUED_PART_LIMIT) context.channel().config().isAutoRead = false
        processQueue()
    }

    /** Called on each read; starts the header timeout at the first bytes of a request. */
    internal fun onBytesRead() {
        if (!isIdle || isClosing || isReadingHeader) return
        isReadingHeader = true
        startTimer(limits.headerTimeout) { onReadTimeout() }
    }

    /** Closes the connection once its caller has been sent the answers to what was read, at once if it is idle. */
    public fun closeWhenIdle() {
        isKeepAlive = false
        if (isIdle) closeAfterWrites()
    }

    /** Answers the request that is open, and closes the connection after it. */
    public fun giveUp() {
        isKeepAlive = false
        exchange?.giveUpForShutdown()
    }

    private fun processQueue() {
        while (exchange == null && !isClosing) {
            val next = queue.removeFirstOrNull() ?: break
            read(next)
        }
        if (queue.size <= QUEUED_PART_LIMIT && !isClosing) channelContext.channel().config().isAutoRead = true
    }

    private fun read(part: HttpObject) {
        if (part.decoderResult().isFailure) {
            ReferenceCountUtil.release(part)
            return rejectMalformed(part.decoderResult().cause())
        }
        if (part is HttpRequest) readHead(part)
        if (part is HttpContent && !isClosing) readBody(part)
    }

    private fun rejectMalformed(cause: Throwable) = when (cause) {
        is TooLongHttpHeaderException, is TooLongHttpLineException ->
            reject(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, AnswerReason.HEADER_TOO_LARGE)

        else -> reject(HttpResponseStatus.BAD_REQUEST, AnswerReason.BAD_REQUEST)
    }

    private fun readHead(request: HttpRequest) {
        message = request
        isKeepAlive = HttpUtil.isKeepAlive(request) && isKeepAlive
        isReadingHeader = false
        bodyDeadline = context.timeSource.markNow() + BodyTimeout
        startBodyTimer()
        val announced = HttpUtil.getContentLength(request, 0L)
        when {
            request.headers().getAll(HttpHeaderNames.HOST).size != 1 ->
                reject(HttpResponseStatus.BAD_REQUEST, AnswerReason.BAD_REQUEST)

            announced > limits.bodyBytes -> reject(
                HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                AnswerReason.BODY_TOO_LARGE,
            )

            else -> {
                body = Unpooled.compositeBuffer(BODY_COMPONENT_LIMIT)
                if (HttpUtil.is100ContinueExpected(request)) channelContext.writeAndFlush(continueResponse())
            }
        }
    }

    private fun readBody(content: HttpContent) {
        val collected = body ?: return content.release().let { }
        if (collected.readableBytes() + content.content().readableBytes() > limits.bodyBytes) {
            content.release()
            return reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, AnswerReason.BODY_TOO_LARGE)
        }
        collected.addComponent(true, content.content())
        if (content is LastHttpContent) startExchange() else startBodyTimer()
    }

    private fun startExchange() {
        timer?.cancel(false)
        val request = CallerRequest(
            message = checkNotNull(message) { "the body was received before the request head" },
            head = context.headerCodec.decodeRequest(checkNotNull(message)),
            body = checkNotNull(body) { "the request has no body buffer" },
        )
        body = null
        val next = Exchange(context, request, this, ::onExchangeFinished).also { exchange = it }
        // If this process reads late, the caller may have closed long ago. The close has been read when this task runs.
        context.eventLoop.execute { if (channelContext.channel().isActive) next.start() }
    }

    private fun onExchangeFinished() {
        exchange = null
        message = null
        if (!mustClose() && !isClosing) startIdleTimer()
        // Queued requests start in a new event loop task, not within the end of this exchange.
        context.eventLoop.execute(::processQueue)
    }

    override fun sendComplete(response: HttpResponse, body: ByteBuf) {
        val whole = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, response.status(), body)
        copyHeaders(response, whole)
        if (message?.method() == HttpMethod.HEAD) {
            response.headers().get(HttpHeaderNames.CONTENT_LENGTH)?.let {
                whole.headers().set(HttpHeaderNames.CONTENT_LENGTH, it)
            }
        } else {
            HttpUtil.setContentLength(whole, body.readableBytes().toLong())
        }
        write(whole)
    }

    override fun sendStreamHead(response: HttpResponse) {
        val head = DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status())
        copyHeaders(response, head)
        HttpUtil.setTransferEncodingChunked(head, true)
        markConnection(head)
        channelContext.write(head)
    }

    override fun sendStreamContent(content: ByteBuf) {
        channelContext.writeAndFlush(DefaultHttpContent(content))
    }

    override fun endStream() {
        val written = channelContext.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        if (mustClose()) written.addListener(ChannelFutureListener.CLOSE)
    }

    override fun abortStream(): Unit = close()

    override fun sendOwn(answer: OwnAnswer) {
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
        write(whole)
    }

    private fun seconds(duration: Duration) =
        String.format(Locale.ROOT, "%.2f", duration.toDouble(DurationUnit.SECONDS))

    private fun write(response: DefaultFullHttpResponse) {
        markConnection(response)
        val written = channelContext.writeAndFlush(response)
        if (mustClose()) {
            isClosing = true
            written.addListener(ChannelFutureListener.CLOSE)
        }
    }

    private fun mustClose() = !isKeepAlive || context.isShuttingDown

    private fun markConnection(response: HttpResponse) {
        if (mustClose()) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    /** Answers an invalid request and closes the connection: the start of the next request is not known. */
    private fun reject(status: HttpResponseStatus, reason: AnswerReason) {
        isKeepAlive = false
        context.metrics.countOwn(status.code(), reason, Duration.ZERO)
        DecisionLog.write("rejected", "status" to status.code(), "reason" to reason)
        val proof = checkNotNull(RunRecord().proof()) { "a rejected request cannot have been sent" }
        if (status == HttpResponseStatus.REQUEST_TIMEOUT) {
            sendOwn(OwnAnswer.NotRun(status.code(), reason, retryAfter = null, proof))
        } else {
            sendOwn(OwnAnswer.Denied(status.code(), reason))
        }
        isClosing = true
    }

    private fun onReadTimeout() {
        if (exchange == null && !isClosing) reject(HttpResponseStatus.REQUEST_TIMEOUT, AnswerReason.SLOW_REQUEST)
    }

    /** Limits each pause within a body to the idle timeout, and the whole body to [bodyDeadline]. */
    private fun startBodyTimer() =
        startTimer(minOf(limits.idleTimeout, bodyDeadline - context.timeSource.markNow())) { onReadTimeout() }

    private fun startIdleTimer() = startTimer(limits.idleTimeout) { if (isIdle) onIdleTimeout() }

    /** Closes the connection; a caller that has not read its last answer gets the same time once more. */
    private fun onIdleTimeout() {
        closeAfterWrites()
        startTimer(limits.idleTimeout, ::close)
    }

    private fun startTimer(delay: Duration, task: () -> Unit) {
        timer?.cancel(false)
        timer = context.eventLoop.schedule(delay, task)
    }

    private fun close() {
        isClosing = true
        channelContext.close()
    }

    /** Closes the connection when the caller has been sent all that was written; it may still read the last answer. */
    private fun closeAfterWrites() {
        isClosing = true
        channelContext.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
    }

    private fun copyHeaders(from: HttpResponse, to: HttpResponse) {
        val named = headersNamedByConnection(from.headers())
        for ((name, value) in from.headers()) {
            val lower = name.lowercase()
            if (lower !in ConnectionHeaders && lower !in named) to.headers().add(name, value)
        }
    }

    private fun continueResponse() =
        DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER)

    private companion object {
        /** Queued HTTP objects above which the connection is not read. */
        const val QUEUED_PART_LIMIT = 64
        const val BODY_COMPONENT_LIMIT = 1_024

        /** Longer than the largest allowed body takes on a slow link. */
        val BodyTimeout = 30.seconds
    }
}

/** Hop-by-hop headers, which are never forwarded; in lower case. */
public val ConnectionHeaders: Set<String> = setOf(
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
)

/** The headers that a message names in its Connection header as hop-by-hop; in lower case. */
public fun headersNamedByConnection(headers: HttpHeaders): Set<String> =
    headers.getAll(HttpHeaderNames.CONNECTION).flatMap { it.split(',') }.mapTo(HashSet()) { it.trim().lowercase() }

/** The open connections of callers. Used on the event loop only. */
public class CallerConnections {
    private val open = LinkedHashSet<CallerConnection>()

    /** Whether no connection is open. */
    public val isEmpty: Boolean get() = open.isEmpty()

    internal fun add(connection: CallerConnection) {
        open += connection
    }

    internal fun remove(connection: CallerConnection) {
        open -= connection
    }

    /** Closes idle connections at once and the others after their current answer. */
    public fun closeWhenIdle(): Unit = open.toList().forEach(CallerConnection::closeWhenIdle)

    /** Answers all open requests now. */
    public fun giveUp(): Unit = open.toList().forEach(CallerConnection::giveUp)
}
