package io.quetzalfield.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import io.quetzalfield.forwarding.choice.FirstAnswer
import io.quetzalfield.forwarding.choice.Placement
import io.quetzalfield.forwarding.crashes.CrashCandidate
import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.model.ModelId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One send of [request] to the endpoint of [placement]. Used on the event loop only. */
internal class Attempt(
    private val request: AdmittedRequest,
    private val progress: StreamProgress,
    private val reply: CallerReply,
    private val owner: AttemptOwner,
    private val placement: Placement,
    private val connection: EndpointConnection,
    private val askedModel: ModelId?,
) : ResponseListener {
    val endpoint: Endpoint get() = placement.endpoint

    private val context = request.context
    private val route = request.route
    private val head = request.head
    private val sentAt = context.timeSource.markNow()

    /** Whether the answer is to continue a stream that has begun. */
    private val isContinuation = progress.hasBegun
    private var isPromptUnread = true
    private var isOver = false
    private var response: HttpResponse? = null
    private var responseHead: ResponseHead? = null
    private var body: ResponseBodyBuffer? = null
    private var splitter: EventSplitter? = null
    private var lastActivity = sentAt

    /** Time at which the first event of this attempt was received; `null` before that. */
    private var firstEventAt: ComparableTimeMark? = null

    /** Whether the answer has shown that the parts of the prompt are sound. */
    private var isProven = false

    /** Bytes of the body that are buffered until it is complete. */
    private var bufferedBytes = 0
    private val silence = SilenceWatch(context, route, endpoint, sentAt, request.remaining, ::onSilenceExceeded)
    private val speed = AnswerSpeedMonitor(request, placement, askedModel)
    private val statements = StatementRecorder(context, request.caller, endpoint)

    /** Sends the request; [number] is the number of this send, from 1. */
    fun start(number: Int) {
        endpoint.inFlight++
        endpoint.unreadTokens += placement.tokensToRead
        context.onWorkChanged()
        if (askedModel != null) endpoint.cachedParts.add(askedModel, head.prompt)
        val attemptHead = AttemptHead(
            expected = endpoint.id,
            account = request.account?.account,
            remaining = request.remaining,
            model = askedModel.takeIf { head.isModelOpen },
            resumeAfter = progress.lastEvent,
            urgency = request.urgency,
        )
        request.caller.log(
            "send",
            "endpoint" to endpoint,
            "connection" to connection.number,
            "service" to request.service.value,
            "version" to endpoint.description.version.value,
            "session" to head.session?.value,
            "model" to askedModel?.value,
            "attempt" to number,
            "in_flight" to endpoint.inFlight,
            "unread_tokens" to placement.tokensToRead,
            "expected_start" to placement.expected?.start,
            "parts" to head.sharedParts.takeIf { it.isNotEmpty() }?.joinToString(",")?.take(LOGGED_PARTS_LENGTH),
            "remaining" to attemptHead.remaining,
        )
        val body = request.caller.body
        val message = context.headerCodec.encodeAttempt(request.caller.message, body.readableBytes(), attemptHead)
        connection.send(message, body.retainedDuplicate(), this)
        speed.start()
        if (route.isRepeatable) silence.start()
    }

    /** Pauses or resumes reading of the response, to match the rate at which the caller reads. */
    fun setAutoRead(isAutoRead: Boolean) {
        connection.channel.config().isAutoRead = isAutoRead
    }

    /** Ends the attempt at the request's deadline, without calling its owner. */
    fun timeOut() {
        if (isOver) return
        speed.onAnswerMissing()
        abandon("timed out")
    }

    /** Ends the attempt and closes its connection, without calling its owner. */
    fun abandon(reason: String) {
        if (isOver) return
        request.caller.log("abandon", "endpoint" to endpoint, "reason" to reason, "after" to sentAt.elapsedNow())
        connection.abandon()
        close()
    }

    private fun close() {
        isOver = true
        speed.close()
        silence.close()
        endpoint.inFlight--
        markPromptRead()
        context.onWorkChanged()
        context.bufferedBodyBytes -= bufferedBytes
        bufferedBytes = 0
        body?.close()
        body = null
        splitter?.close()
        splitter = null
    }

    private fun end(outcome: AttemptOutcome) {
        close()
        owner.onEnded(this, outcome)
    }

    private fun markPromptRead() {
        if (!isPromptUnread) return
        isPromptUnread = false
        endpoint.unreadTokens -= placement.tokensToRead
        context.onWorkChanged()
    }

    private fun onSilenceExceeded() {
        request.caller.log("silent", "endpoint" to endpoint, "since" to lastActivity.elapsedNow())
        endpoint.recordFailure(context.timeSource.markNow())
        speed.onAnswerMissing()
        if (!owner.tryLeaveSilentEndpoint()) return
        connection.abandon()
        end(AttemptOutcome.Silent)
    }

    override fun onHead(response: HttpResponse): Boolean {
        val decoded = context.headerCodec.decodeResponse(response)
        recordActivity()
        decoded.load?.let {
            endpoint.load = it
            endpoint.loadReportedAt = lastActivity
        }
        if (decoded.isAmbiguous) {
            fail("response with several request ids or signatures")
            return true
        }
        statements.recordLeaving(decoded)
        statements.recordCold(decoded)
        if (decoded.requestId != null && decoded.requestId != head.id) {
            request.caller.log("skipped_response", "endpoint" to endpoint, "of" to decoded.requestId.value)
            return false
        }
        this.response = response
        responseHead = decoded
        statements.recordAlive(decoded, sentAt)
        statements.recordLimit(decoded, lastActivity)
        when {
            // It may repeat a response to an earlier request.
            decoded.requestId == null && connection.hasCarriedResponse -> fail("response without request id")

            decoded.isNotRun || decoded.isMisdirected -> handleNotRun(decoded)

            isSuccess(decoded) && !isTrusted(decoded) -> fail("response without signature or request id")

            isSuccess(decoded) && route.isStream -> beginStream(decoded)

            else -> body = ResponseBodyBuffer(connection.channel.alloc())
        }
        return true
    }

    private fun isSuccess(decoded: ResponseHead) = decoded.status in SUCCESS_STATUSES

    private fun isTrusted(decoded: ResponseHead) = decoded.isSigned && decoded.requestId != null

    private fun handleNotRun(decoded: ResponseHead) {
        val now = context.timeSource.markNow()
        if (decoded.isMisdirected) endpoint.recordMisdirected(now) else endpoint.recordRefusal(now)
        request.caller.log("not_run", "endpoint" to endpoint, "status" to decoded.status, "load" to decoded.load)
        connection.abandon()
        end(AttemptOutcome.StatedNotRun)
    }

    private fun beginStream(decoded: ResponseHead) {
        markPromptRead()
        if (isContinuation && !progress.isContinuedBy(checkNotNull(response) { "a stream began without a head" })) {
            return fail("response does not continue the stream")
        }
        val larger = if (progress.hasBegun || !head.isModelOpen) null else trySelectLargerModel(decoded)
        if (larger == null) {
            splitter = EventSplitter()
            return
        }
        request.caller.log("ask_larger", "confidence" to decoded.confidence, "after" to request.arrivedAt.elapsedNow())
        connection.abandon()
        end(AttemptOutcome.LowConfidence(larger))
    }

    private fun trySelectLargerModel(decoded: ResponseHead): ModelId? {
        val asked = askedModel ?: return null
        val answer = FirstAnswer(
            confidence = decoded.confidence,
            occupancy = context.occupancy(request.service),
            remaining = route.objective - request.arrivedAt.elapsedNow(),
            expectedStart = sentAt.elapsedNow(),
        )
        return owner.trySelectLargerModel(asked, answer)
    }

    override fun onContent(content: ByteBuf) {
        val events = splitter ?: return buffer(content)
        val whole = events.add(content)
        // Bytes of an event that is never completed do not show that the endpoint makes progress.
        if (whole.isNotEmpty()) recordActivity()
        if (whole.isNotEmpty()) recordProgress()
        for (event in whole) if (isOver) event.bytes.release() else handle(event)
        if (!isOver && events.isEventTooLarge) fail("stream event exceeds the size limit")
    }

    private fun buffer(content: ByteBuf) {
        recordActivity()
        bufferedBytes += content.readableBytes()
        context.bufferedBodyBytes += content.readableBytes()
        body?.add(content)
        content.release()
        val totalLimit = context.intake.budget.limits.answerBytes
        val exceedsLimit = bufferedBytes > BUFFERED_BODY_LIMIT || context.bufferedBodyBytes > totalLimit
        if (exceedsLimit) fail("response body exceeds the size limit")
    }

    private fun handle(event: StreamEvent) {
        if (event.containsHead) {
            event.bytes.release()
            return fail("stream event contains another response")
        }
        when (progress.dispositionOf(event, isContinuation)) {
            EventDisposition.REPEATED -> event.bytes.release()

            EventDisposition.UNNUMBERED -> {
                event.bytes.release()
                fail("event without a number after event ${progress.lastEvent}")
            }

            EventDisposition.GAP -> {
                event.bytes.release()
                fail("gap in the stream: event ${event.number} after ${progress.lastEvent}")
            }

            EventDisposition.PASSED -> forward(event)
        }
    }

    private fun forward(event: StreamEvent) {
        speed.onEvent()
        if (!progress.hasBegun) {
            val after = request.arrivedAt.elapsedNow()
            context.metrics.observeFirstEvent(after)
            val streamHead = checkNotNull(response) { "a stream event was received before the response head" }
            progress.begin(streamHead, endpoint.description.version, after)
        }
        progress.forward(event)
        if (!reply.isWritable) setAutoRead(false)
    }

    override fun onEnd(end: ResponseEnd) {
        val decoded = responseHead
        if (isOver || decoded == null) return
        val events = splitter
        when {
            events != null && (events.hasPartialEvent || !progress.hasBegun) -> fail("stream ended within an event")
            body?.containsAnother(end) == true -> fail("response body contains another one")
            end is ResponseEnd.ConnectionClosed && isSuccess(decoded) -> checkEndpointOutlives(decoded)
            else -> complete(decoded)
        }
    }

    private fun complete(decoded: ResponseHead) = if (splitter == null) endComplete(decoded) else endStream(decoded)

    /**
     * Completes a response that ended with its connection, unless the endpoint refuses another one. When a process
     * ends, its connections are closed normally, so that a response without length looks whole wherever it was broken
     * off. An endpoint that announced its end may have closed its listening socket before.
     */
    private fun checkEndpointOutlives(decoded: ResponseHead) {
        if (!endpoint.isEligible) return complete(decoded)
        silence.close()
        context.connections.probe(endpoint.description.address, EndOfProcess) { failure ->
            when {
                isOver -> Unit
                failure == ConnectFailure.REFUSED -> fail("the endpoint ended with a response without length")
                else -> complete(decoded)
            }
        }
    }

    private fun endStream(decoded: ResponseHead) {
        countSuccess()
        end(AttemptOutcome.StreamComplete(decoded))
    }

    private fun endComplete(decoded: ResponseHead) {
        if (decoded.isFailure) countFailure() else countSuccess()
        val outcome = AttemptOutcome.Complete(
            response = checkNotNull(response) { "a response was completed without a head" },
            head = decoded,
            body = checkNotNull(body) { "a response was completed without a body" }.take(),
        )
        end(outcome)
    }

    private fun countSuccess() {
        endpoint.recordSuccess(sentAt)
        if (!isProven) recordProof(firstEventAt ?: lastActivity)
        speed.onAnswerComplete()
        context.observer.countAnswer(request.service, endpoint.description.version)
    }

    private fun countFailure() {
        context.observer.countError(request.service, endpoint.description.version)
        endpoint.recordError(context.timeSource.markNow())
    }

    override fun onFailure(reason: String, isConnectionLost: Boolean) {
        if (!isOver) fail(reason, isConnectionLost)
    }

    private fun fail(reason: String, isConnectionLost: Boolean = false) {
        request.caller.log(
            "broken",
            "endpoint" to endpoint,
            "reason" to reason,
            "head_received" to (responseHead != null),
            "since_first_event" to firstEventAt?.elapsedNow(),
            "last_event" to progress.lastEvent,
        )
        connection.abandon()
        endpoint.recordFailure(context.timeSource.markNow())
        end(AttemptOutcome.Broken(if (isConnectionLost) crashCandidate() else null, connection.openedAt))
    }

    /** A request that makes endpoints end does so as they begin to answer it. */
    private fun crashCandidate(): CrashCandidate? =
        if (isAnswerWellBegun) null else CrashCandidate(request.fingerprint, head.sharedParts, responseHead != null)

    /** Whether the endpoint has gone on with the answer for so long that the request does not make it end. */
    val isAnswerWellBegun: Boolean get() = firstEventAt.let { it != null && it.elapsedNow() >= StartOfAnswer }

    private fun recordProgress() {
        val begun = firstEventAt ?: return run { firstEventAt = lastActivity }
        if (isProven || !isAnswerWellBegun) return
        recordProof(begun)
    }

    private fun recordProof(startedAt: ComparableTimeMark) {
        isProven = true
        context.crashes.recordAnswer(head.sharedParts, startedAt)
    }

    private fun recordActivity() {
        lastActivity = context.timeSource.markNow()
        silence.lastActivity = lastActivity
        endpoint.lastHeard = lastActivity
    }

    private companion object {
        /** Characters; enough for the parts of the usual prompts. */
        const val LOGGED_PARTS_LENGTH = 200
        val SUCCESS_STATUSES = 200..299

        /** Bytes of a response that is buffered until it is complete; plain services are expected to send less. */
        const val BUFFERED_BODY_LIMIT = 8 * 1024 * 1024

        /** Time from the first event of an answer within which a request ends the endpoint, if it does. */
        val StartOfAnswer = 1.seconds

        /** Time within which the operating system closes all sockets of a process that ends. */
        val EndOfProcess = 25.milliseconds
    }
}
