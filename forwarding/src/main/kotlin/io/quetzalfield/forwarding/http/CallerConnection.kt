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

/** A caller's connection: one request at a time; those sent ahead wait their turn. */
public class CallerConnection(private val context: RoutingContext, private val registry: CallerConnections) :
    ChannelInboundHandlerAdapter(),
    CallerReply {
    private lateinit var channelContext: ChannelHandlerContext
    private val waiting = ArrayDeque<HttpObject>()
    private var message: HttpRequest? = null
    private var body: CompositeByteBuf? = null
    private var exchange: Exchange? = null
    private var isKept = true
    private var isClosing = false
    private var timer: ScheduledFuture<*>? = null

    /** Whether bytes of a header have come that is not whole; its time runs from the first of them. */
    private var hasHeadBegun = false

    /** When the body that is being read must have ended. */
    private var bodyDeadline = context.timeSource.markNow()

    /** Whether no request is being read or answered. */
    public val isIdle: Boolean get() = message == null && exchange == null && waiting.isEmpty()

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
        waiting.forEach(ReferenceCountUtil::release)
        waiting.clear()
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
        waiting.addLast(message)
        // A caller that sends far ahead is not read until its requests have had their turn.
        if (exchange != null && waiting.size > MOST_WAITING_PARTS) context.channel().config().isAutoRead = false
        readOn()
    }

    /** The first bytes of a request have come, or more of them. */
    internal fun bytesArrived() {
        if (!isIdle || isClosing || hasHeadBegun) return
        hasHeadBegun = true
        startTimer(limits.headerTimeout) { tooSlow() }
    }

    /** Closes the connection if no request is under way, else after its answer. */
    public fun closeWhenIdle() {
        isKept = false
        if (isIdle) close()
    }

    private fun readOn() {
        while (exchange == null && !isClosing) {
            val next = waiting.removeFirstOrNull() ?: break
            read(next)
        }
        if (waiting.size <= MOST_WAITING_PARTS && !isClosing) channelContext.channel().config().isAutoRead = true
    }

    private fun read(part: HttpObject) {
        if (part.decoderResult().isFailure) {
            ReferenceCountUtil.release(part)
            return malformed(part.decoderResult().cause())
        }
        if (part is HttpRequest) readHead(part)
        if (part is HttpContent && !isClosing) readBody(part)
    }

    private fun malformed(cause: Throwable) = when (cause) {
        is TooLongHttpHeaderException, is TooLongHttpLineException ->
            reject(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, AnswerReason.HEADER_TOO_LARGE)

        else -> reject(HttpResponseStatus.BAD_REQUEST, AnswerReason.BAD_REQUEST)
    }

    private fun readHead(request: HttpRequest) {
        message = request
        isKept = HttpUtil.isKeepAlive(request) && isKept
        hasHeadBegun = false
        bodyDeadline = context.timeSource.markNow() + LongestBody
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
                body = Unpooled.compositeBuffer(MOST_BODY_COMPONENTS)
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
        if (content is LastHttpContent) begin() else startBodyTimer()
    }

    private fun begin() {
        timer?.cancel(false)
        val request = CallerRequest(
            message = checkNotNull(message) { "a body follows a head" },
            head = context.dialect.decodeRequest(checkNotNull(message)),
            body = checkNotNull(body) { "a request has a body, which may be empty" },
        )
        body = null
        val next = Exchange(context, request, this, ::answered).also { exchange = it }
        // The caller may have closed long ago when this process reads late; the end of the stream is read by then.
        context.eventLoop.execute { if (channelContext.channel().isActive) next.start() }
    }

    private fun answered() {
        exchange = null
        message = null
        if (!mustClose() && !isClosing) startIdleTimer()
        // Later requests start from the event loop, not within the end of this one.
        context.eventLoop.execute(::readOn)
    }

    override fun sendWhole(response: HttpResponse, body: ByteBuf) {
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

    override fun sendStreamPart(part: ByteBuf) {
        channelContext.writeAndFlush(DefaultHttpContent(part))
    }

    override fun endStream() {
        val written = channelContext.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        if (mustClose()) written.addListener(ChannelFutureListener.CLOSE)
    }

    override fun breakOff(): Unit = close()

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

    private fun mustClose() = !isKept || context.isShuttingDown

    private fun markConnection(response: HttpResponse) {
        if (mustClose()) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    /** Answers a request that cannot be read; what follows on the connection cannot be told from it. */
    private fun reject(status: HttpResponseStatus, reason: AnswerReason) {
        isKept = false
        context.metrics.countOwn(status.code(), reason, Duration.ZERO)
        DecisionLog.write("rejected", "status" to status.code(), "reason" to reason)
        val proof = checkNotNull(RunRecord().proof()) { "the request has not been sent" }
        if (status == HttpResponseStatus.REQUEST_TIMEOUT) {
            sendOwn(OwnAnswer.NotRun(status.code(), reason, retryAfter = null, proof))
        } else {
            sendOwn(OwnAnswer.Denied(status.code(), reason))
        }
        isClosing = true
    }

    private fun tooSlow() {
        if (exchange == null && !isClosing) reject(HttpResponseStatus.REQUEST_TIMEOUT, AnswerReason.SLOW_REQUEST)
    }

    /** A body may pause for the idle time, and comes to its end in any case. */
    private fun startBodyTimer() =
        startTimer(minOf(limits.idleTimeout, bodyDeadline - context.timeSource.markNow())) { tooSlow() }

    private fun startIdleTimer() = startTimer(limits.idleTimeout) { if (isIdle) close() }

    private fun startTimer(delay: Duration, task: () -> Unit) {
        timer?.cancel(false)
        timer = context.eventLoop.schedule(delay, task)
    }

    private fun close() {
        isClosing = true
        channelContext.close()
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
        const val MOST_WAITING_PARTS = 64
        const val MOST_BODY_COMPONENTS = 1_024

        /** Longer than a slow link takes for the largest body that is allowed. */
        val LongestBody = 30.seconds
    }
}

/** Headers that concern one connection only and are never passed on; in lower case. */
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

/** The headers, in lower case, that a message declares to concern its connection only. */
public fun headersNamedByConnection(headers: HttpHeaders): Set<String> =
    headers.getAll(HttpHeaderNames.CONNECTION).flatMap { it.split(',') }.mapTo(HashSet()) { it.trim().lowercase() }

/** The callers' connections that are open. Used on the event loop only. */
public class CallerConnections {
    private val open = LinkedHashSet<CallerConnection>()

    /** Whether none is open. */
    public val isEmpty: Boolean get() = open.isEmpty()

    internal fun add(connection: CallerConnection) {
        open += connection
    }

    internal fun remove(connection: CallerConnection) {
        open -= connection
    }

    /** Closes all connections between requests. */
    public fun closeWhenIdle(): Unit = open.toList().forEach(CallerConnection::closeWhenIdle)
}
