package io.quetzalfield.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.ScheduledFuture
import io.quetzalfield.forwarding.DecisionLog
import io.quetzalfield.forwarding.configuration.CallerLimits
import io.quetzalfield.forwarding.intake.BodyCollector
import io.quetzalfield.forwarding.intake.FieldsRefused
import io.quetzalfield.forwarding.intake.IntakeClient
import io.quetzalfield.forwarding.intake.IntakeRefusal
import io.quetzalfield.forwarding.intake.IntakeShare
import io.quetzalfield.forwarding.schedule
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A caller's connection. Handles one request at a time; what is sent ahead is not decoded until then. */
public class CallerConnection(private val context: RoutingContext, private val registry: CallerConnections) :
    ChannelInboundHandlerAdapter(),
    CallerReply,
    IntakeClient {
    private lateinit var channelContext: ChannelHandlerContext
    private lateinit var share: IntakeShare
    private val queue = ArrayDeque<HttpObject>()
    private var message: HttpRequest? = null
    private var body: BodyCollector? = null
    private var exchange: Exchange? = null
    private var isKeepAlive = true
    private var isClosing = false
    private var timer: ScheduledFuture<*>? = null

    /** Whether the body waits for memory. */
    private var isPaused = false

    /** Bytes that have been read and not decoded. */
    private var aheadBytes = 0

    /** Whether a part of a request header has been received; the header timeout runs from its first byte. */
    private var isReadingHeader = false

    /** When the body that is being read must be complete. */
    private var bodyDeadline = context.timeSource.markNow()

    /** Whether no request is being read or answered. */
    public val isIdle: Boolean get() = message == null && exchange == null && queue.isEmpty()

    private val limits: CallerLimits get() = context.configuration.current?.limits ?: CallerLimits()

    override val isWritable: Boolean get() = channelContext.channel().isWritable

    override val isAnswering: Boolean get() = exchange != null

    override val unreadBytes: Long get() = channelContext.channel().unreadBytes

    /** Whether nothing is to be decoded before a request has been answered and its answer read, or memory is free. */
    internal val isHeld: Boolean get() = exchange != null || isPaused || !isWritable

    /** Whether whatever the caller sends is dropped. */
    internal val isDiscarding: Boolean get() = isClosing

    override fun handlerAdded(context: ChannelHandlerContext) {
        channelContext = context
    }

    override fun channelActive(context: ChannelHandlerContext) {
        registry.add(this)
        share = this.context.intake.open(this)
        startIdleTimer()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        registry.remove(this)
        timer?.cancel(false)
        isClosing = true
        isPaused = false
        exchange?.cancel()
        exchange = null
        this.context.intake.close(share)
        dropRequest()
    }

    private fun dropRequest() {
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
        if (!isWritable) return
        exchange?.resumeReading()
        this.context.eventLoop.execute(::processQueue)
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message !is HttpObject || isClosing) {
            ReferenceCountUtil.release(message)
            return
        }
        queue.addLast(message)
        readQueue()
    }

    /** Called after each read with the [bytes] that are not decoded; stops reading from a caller that is far ahead. */
    internal fun onDecoded(bytes: Int, isTurnOver: Boolean) {
        aheadBytes = bytes
        updatePending()
        channelContext.channel().config().isAutoRead =
            (!isHeld && !isTurnOver) || (!isPaused && bytes <= READ_AHEAD_LIMIT)
    }

    /** Holds the memory of a header field of [bytes] in the request that is being read. */
    internal fun onField(bytes: Int): Unit = context.intake.holdField(share, bytes)

    override fun onMemoryGranted() {
        isPaused = false
        if (message?.let(HttpUtil::is100ContinueExpected) == true && body?.size == 0) {
            channelContext.writeAndFlush(continueResponse())
        }
        processQueue()
    }

    override fun onMemoryRefused(reason: IntakeRefusal) {
        if (exchange == null && !isClosing) refuse(reason)
    }

    override fun closeForMemory(): Unit = close()

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

    /** Handles what is queued, and then what has been read and not decoded. */
    private fun processQueue() {
        readQueue()
        if (!isHeld && !isClosing) channelContext.pipeline().get(CallerRequestDecoder::class.java)?.decodeOn()
    }

    private fun readQueue() {
        while (exchange == null && !isClosing && !isPaused) {
            val next = queue.removeFirstOrNull() ?: break
            read(next)
        }
    }

    private fun read(part: HttpObject) {
        if (part.decoderResult().isFailure) {
            ReferenceCountUtil.release(part)
            return rejectMalformed(part.decoderResult().cause())
        }
        if (part is HttpRequest) readHead(part)
        if (part is HttpContent && !isClosing) readBody(part)
    }

    private fun rejectMalformed(cause: Throwable) = when {
        cause is FieldsRefused -> refuse(IntakeRefusal.FIELDS)
        cause.isTooLong -> reject(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, AnswerReason.HEADER_TOO_LARGE)
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

            else -> beginBody(announced, HttpUtil.is100ContinueExpected(request))
        }
    }

    /** Holds the memory for a whole body whose length is [announced], so that it can be completed once it has begun. */
    private fun beginBody(announced: Long, mustContinue: Boolean) {
        body = BodyCollector(announced.toInt())
        if (!holdOrPause(announced)) return
        if (mustContinue) channelContext.writeAndFlush(continueResponse())
    }

    private fun holdOrPause(bytes: Long): Boolean {
        isPaused = bytes > 0 && !context.intake.holdOrAwait(share, bytes)
        return !isPaused
    }

    private fun readBody(content: HttpContent) {
        val collected = body ?: return content.release().let { }
        val bytes = content.content().readableBytes()
        if (collected.size + bytes > limits.bodyBytes) {
            content.release()
            return reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, AnswerReason.BODY_TOO_LARGE)
        }
        val missing = collected.allocatedBytes + collected.bytesToAllocate(bytes) - share.bodyBytes
        if (!holdOrPause(missing)) return queue.addFirst(content)
        collected.add(content.content())
        content.release()
        context.intake.budget.recordArrival(share, bytes)
        if (content is LastHttpContent) startExchange() else startBodyTimer()
    }

    private fun startExchange() {
        timer?.cancel(false)
        context.intake.budget.recordComplete(share)
        val request = CallerRequest(
            message = checkNotNull(message) { "the body was received before the request head" },
            head = context.headerCodec.decodeRequest(checkNotNull(message)),
            body = checkNotNull(body) { "the request has no body buffer" }.complete(),
        )
        body = null
        val next = Exchange(context, request, this, ::onExchangeFinished).also { exchange = it }
        // If this process reads late, the caller may have closed long ago. The close has been read when this task runs.
        context.eventLoop.execute { if (channelContext.channel().isActive) next.start() }
    }

    private fun onExchangeFinished() {
        exchange = null
        message = null
        context.intake.endRequest(share)
        when {
            !channelContext.channel().isActive -> Unit
            mustClose() || isClosing -> startTimer(limits.idleTimeout * 2, ::close)
            else -> startIdleTimer()
        }
        // Requests sent ahead start in a later turn of the event loop, which reads other connections in between.
        if (aheadBytes == 0 && queue.isEmpty()) return
        context.eventLoop.schedule(AheadPause, ::processQueue)
    }

    override fun sendComplete(response: HttpResponse, body: ByteBuf) {
        write(wholeResponse(response, body, isToHead = message?.method() == HttpMethod.HEAD))
    }

    override fun sendStreamHead(response: HttpResponse) {
        val head = streamHead(response)
        markConnection(head)
        channelContext.write(head)
    }

    override fun sendStreamContent(content: ByteBuf) {
        countUnread(channelContext.writeAndFlush(DefaultHttpContent(content)))
    }

    override fun endStream() {
        val written = channelContext.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        if (!mustClose()) return
        // Nothing that was sent ahead is answered on this connection, so it must not run either.
        isClosing = true
        written.addListener(ChannelFutureListener.CLOSE)
    }

    /** Counts what the caller has not read yet, now and when [written] is done. */
    private fun countUnread(written: ChannelFuture) {
        updatePending()
        if (!written.isDone) written.addListener { updatePending() }
    }

    private fun updatePending() {
        val channel = channelContext.channel()
        if (channel.isActive) context.intake.setPending(share, channel.unwrittenBytes + aheadBytes)
    }

    override fun abortStream(): Unit = close()

    override fun sendOwn(answer: OwnAnswer): Unit = write(ownResponse(answer))

    private fun write(response: DefaultFullHttpResponse) {
        markConnection(response)
        val written = channelContext.writeAndFlush(response)
        countUnread(written)
        if (!mustClose()) return
        isClosing = true
        written.addListener(if (exchange != null) ChannelFutureListener.CLOSE else lingeringClose())
    }

    private fun lingeringClose() = LingeringClose(context.intake.budget.limits.grace, limits.bodyBytes.toLong())

    private fun mustClose() = !isKeepAlive || context.isShuttingDown

    private fun markConnection(response: HttpResponse) {
        if (mustClose()) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    /** Refuses the request that is being read, which has not run, as there is no memory for it. */
    private fun refuse(reason: IntakeRefusal) {
        context.intake.countRefusal(reason)
        reject(HttpResponseStatus.SERVICE_UNAVAILABLE, AnswerReason.INTAKE_FULL)
    }

    /** Answers an invalid request and closes the connection: the start of the next request is not known. */
    private fun reject(status: HttpResponseStatus, reason: AnswerReason) {
        isKeepAlive = false
        context.metrics.countOwn(status.code(), reason, Duration.ZERO)
        val isIntakeFull = reason == AnswerReason.INTAKE_FULL
        if (!isIntakeFull) DecisionLog.write("rejected", "status" to status.code(), "reason" to reason)
        val proof = checkNotNull(RunRecord().proof()) { "a rejected request cannot have been sent" }
        if (isIntakeFull || status == HttpResponseStatus.REQUEST_TIMEOUT) {
            val delay = if (isIntakeFull) IntakeRetryDelay + IntakeRetryDelay * context.random.nextDouble() else null
            sendOwn(OwnAnswer.NotRun(status.code(), reason, delay, proof))
        } else {
            sendOwn(OwnAnswer.Denied(status.code(), reason))
        }
        isClosing = true
        isPaused = false
        startTimer(limits.idleTimeout, ::close)
        dropRequest()
        context.intake.endRequest(share)
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

    private companion object {
        /** Bytes that are read while a request is answered, so that the close of its caller is seen. */
        const val READ_AHEAD_LIMIT = 16_384

        /** Time between the answer to a request and the start of one that its caller sent ahead. */
        val AheadPause = 1.milliseconds

        /** Callers that are refused for memory retry after this time and a random part of it. */
        val IntakeRetryDelay = 500.milliseconds

        /** Longer than the largest allowed body takes on a slow link. */
        val BodyTimeout = 30.seconds
    }
}
