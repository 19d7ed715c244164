package io.quetzalfield.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import io.netty.util.concurrent.ScheduledFuture
import io.quetzalfield.forwarding.choice.FirstAnswer
import io.quetzalfield.forwarding.choice.Placement
import io.quetzalfield.forwarding.choice.SilencePolicy
import io.quetzalfield.forwarding.choice.SilenceVerdict
import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.schedule
import io.quetzalfield.model.ModelId
import kotlin.time.Duration.Companion.milliseconds

/** How one attempt ended. */
internal sealed interface AttemptOutcome {
    /** The endpoint stated that it did not run the request. */
    data object StatedNotRun : AttemptOutcome

    /** The answer was dropped in favour of one by [larger]. */
    data class TooUncertain(val larger: ModelId) : AttemptOutcome

    /** The endpoint has said nothing for too long, and the request may go elsewhere. */
    data object Silent : AttemptOutcome

    /**
     * The answer broke off or was not one. [mayHaveCrashed] if the connection was lost before the endpoint had answered
     * anything: a request that crashes endpoints does so when it begins to run.
     */
    data class Broken(val mayHaveCrashed: Boolean) : AttemptOutcome

    /** The answer is whole. The receiver releases [body]. */
    class Whole(val response: HttpResponse, val head: ResponseHead, val body: ByteBuf) : AttemptOutcome

    /** All events of the stream have been passed on. */
    data class StreamEnded(val head: ResponseHead) : AttemptOutcome
}

/** Decides what an attempt may do, and takes its end. */
internal interface AttemptOwner {
    /** The larger model to ask instead of passing [answer] of [asked] on; the send is taken as spent. */
    fun takeLargerModel(asked: ModelId, answer: FirstAnswer): ModelId?

    /** Whether the request may leave a silent endpoint for another one; the send is taken as spent. */
    fun mayLeaveSilentEndpoint(): Boolean

    /** The attempt is over, and its connection is given back or closed. */
    fun ended(attempt: Attempt, outcome: AttemptOutcome)
}

/** One send of [request] to the endpoint of [placement]. Runs on the event loop. */
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
    private var isPromptUnread = true
    private var isOver = false
    private var response: HttpResponse? = null
    private var responseHead: ResponseHead? = null
    private var wholeBody: ByteBuf? = null
    private var splitter: EventSplitter? = null
    private var lastHeard = sentAt

    /** Bytes of the body that are held until it is whole. */
    private var heldBytes = 0
    private var silenceTimer: ScheduledFuture<*>? = null
    private val speed = SpeedWatch(request, endpoint, askedModel)

    /** Sends the request; [number] counts the sends of the request. */
    fun start(number: Int) {
        endpoint.inFlight++
        endpoint.unreadTokens += placement.tokensToRead
        context.onWorkChanged()
        if (askedModel != null) endpoint.cachedParts.add(askedModel, head.prompt)
        val attemptHead = AttemptHead(
            expected = endpoint.id,
            account = request.account?.account,
            remaining = request.remaining,
            model = askedModel.takeIf { head.leavesModelOpen },
            resumeAfter = progress.lastEvent,
            urgency = (request.account?.priority ?: route.priority).coerceIn(0, LEAST_URGENT),
        )
        request.caller.log(
            "send",
            "endpoint" to endpoint,
            "version" to endpoint.description.version.value,
            "session" to head.session?.value,
            "model" to askedModel?.value,
            "attempt" to number,
            "in_flight" to endpoint.inFlight,
            "unread_tokens" to placement.tokensToRead,
            "remaining" to attemptHead.remaining,
        )
        val body = request.caller.body
        val message = context.dialect.encodeAttempt(request.caller.message, body.readableBytes(), attemptHead)
        connection.send(message, body.retainedDuplicate(), this)
        speed.start()
        if (route.isRepeatable) watchSilence()
    }

    /** Stops or resumes taking the answer's bytes, as fast as the caller takes them. */
    fun setAutoRead(isAutoRead: Boolean) {
        connection.channel.config().isAutoRead = isAutoRead
    }

    /** The request's time is over: ends the attempt without telling its owner. */
    fun timeOut() {
        if (isOver) return
        speed.answerIsMissing()
        abandon("timed out")
    }

    /** Ends the attempt without telling its owner. */
    fun abandon(reason: String) {
        if (isOver) return
        request.caller.log("abandon", "endpoint" to endpoint, "reason" to reason, "after" to sentAt.elapsedNow())
        connection.abandon()
        close()
    }

    private fun close() {
        isOver = true
        speed.close()
        silenceTimer?.cancel(false)
        endpoint.inFlight--
        promptIsRead()
        context.onWorkChanged()
        context.heldBodyBytes -= heldBytes
        heldBytes = 0
        wholeBody?.release()
        wholeBody = null
        splitter?.close()
        splitter = null
    }

    private fun end(outcome: AttemptOutcome) {
        close()
        owner.ended(this, outcome)
    }

    private fun promptIsRead() {
        if (!isPromptUnread) return
        isPromptUnread = false
        endpoint.unreadTokens -= placement.tokensToRead
        context.onWorkChanged()
    }

    /** Looks after the endpoint while it says nothing; a silent connection shows by nothing else. */
    private fun watchSilence() {
        val silence = SilencePolicy.silence(route, silenceOfEndpoint(), lastHeard.elapsedNow())
        val wait = SilencePolicy.limit(route) - silence
        silenceTimer = context.eventLoop.schedule(maxOf(wait, ShortestCheck)) {
            if (isOver) return@schedule
            when (SilencePolicy.judge(route, silenceOfEndpoint(), lastHeard.elapsedNow())) {
                SilenceVerdict.WAIT -> watchSilence()
                SilenceVerdict.PROBE -> probe()
                SilenceVerdict.LEAVE -> silent()
            }
        }
    }

    private fun silenceOfEndpoint() = (endpoint.lastHeard ?: sentAt).elapsedNow()

    /** An endpoint that accepts connections is busy, most likely; one that does not is lost. */
    private fun probe() {
        context.connections.probe(endpoint.description.address) { isReached ->
            if (isOver) return@probe
            if (isReached) endpoint.lastHeard = context.timeSource.markNow()
            if (isReached) watchSilence() else silent()
        }
    }

    private fun silent() {
        request.caller.log("silent", "endpoint" to endpoint, "since" to lastHeard.elapsedNow())
        endpoint.failed(context.timeSource.markNow())
        speed.answerIsMissing()
        if (!owner.mayLeaveSilentEndpoint()) return
        connection.abandon()
        end(AttemptOutcome.Silent)
    }

    override fun onHead(response: HttpResponse): Boolean {
        val decoded = context.dialect.decodeResponse(response)
        heard()
        decoded.load?.let {
            endpoint.load = it
            endpoint.loadReportedAt = lastHeard
        }
        if (decoded.requestId != null && decoded.requestId != head.id) {
            request.caller.log("skipped_response", "endpoint" to endpoint, "of" to decoded.requestId.value)
            return false
        }
        this.response = response
        responseHead = decoded
        when {
            decoded.isNotRun || decoded.isMisdirected -> refusedByEndpoint(decoded)
            isSuccess(decoded) && !isTrusted(decoded) -> broken("answer without signature")
            isSuccess(decoded) && route.isStream -> beginStream(decoded)
            else -> wholeBody = connection.channel.alloc().buffer()
        }
        return true
    }

    private fun isSuccess(decoded: ResponseHead) = decoded.status in SUCCESSES

    private fun isTrusted(decoded: ResponseHead) = decoded.isSigned && decoded.requestId != null

    private fun refusedByEndpoint(decoded: ResponseHead) {
        if (decoded.isMisdirected) endpoint.isGone = true else endpoint.turnedAway(context.timeSource.markNow())
        request.caller.log("not_run", "endpoint" to endpoint, "status" to decoded.status, "load" to decoded.load)
        connection.abandon()
        end(AttemptOutcome.StatedNotRun)
    }

    private fun beginStream(decoded: ResponseHead) {
        promptIsRead()
        val larger = if (progress.hasBegun || !head.leavesModelOpen) null else largerModel(decoded)
        if (larger == null) {
            splitter = EventSplitter()
            return
        }
        request.caller.log("ask_larger", "confidence" to decoded.confidence, "after" to request.arrivedAt.elapsedNow())
        connection.abandon()
        end(AttemptOutcome.TooUncertain(larger))
    }

    private fun largerModel(decoded: ResponseHead): ModelId? {
        val asked = askedModel ?: return null
        val answer = FirstAnswer(
            confidence = decoded.confidence,
            occupancy = context.occupancy(request.service),
            remaining = route.objective - request.arrivedAt.elapsedNow(),
            expectedStart = sentAt.elapsedNow(),
        )
        return owner.takeLargerModel(asked, answer)
    }

    override fun onContent(content: ByteBuf) {
        val events = splitter ?: return hold(content)
        val whole = events.add(content)
        // Single bytes of an event that never ends are no sign of work.
        if (whole.isNotEmpty()) heard()
        for (event in whole) if (isOver) event.bytes.release() else take(event)
        if (!isOver && events.isOverfull) broken("event too large")
    }

    private fun hold(content: ByteBuf) {
        heard()
        heldBytes += content.readableBytes()
        context.heldBodyBytes += content.readableBytes()
        wholeBody?.writeBytes(content)
        content.release()
        val isTooMuch = heldBytes > LARGEST_WHOLE_BODY || context.heldBodyBytes > MOST_HELD_BYTES
        if (isTooMuch) broken("body too large")
    }

    private fun take(event: StreamEvent) {
        when (progress.judge(event)) {
            EventVerdict.REPEATED -> event.bytes.release()

            EventVerdict.GAP -> {
                event.bytes.release()
                broken("event ${event.number} after ${progress.lastEvent}")
            }

            EventVerdict.PASSED -> pass(event)
        }
    }

    private fun pass(event: StreamEvent) {
        speed.eventCame()
        if (!progress.hasBegun) {
            val after = request.arrivedAt.elapsedNow()
            context.metrics.observeFirstEvent(after)
            val streamHead = checkNotNull(response) { "a stream starts with its head" }
            progress.begin(streamHead, endpoint.description.version, after)
        }
        progress.pass(event)
        if (!reply.isWritable) setAutoRead(false)
    }

    override fun onEnd() {
        val decoded = responseHead
        if (isOver || decoded == null) return
        val events = splitter
        when {
            events == null -> endWhole(decoded)
            events.hasPartialEvent || !progress.hasBegun -> broken("stream ended within an event")
            else -> endStream(decoded)
        }
    }

    private fun endStream(decoded: ResponseHead) {
        countSuccess()
        end(AttemptOutcome.StreamEnded(decoded))
    }

    private fun endWhole(decoded: ResponseHead) {
        if (decoded.isFailure) countFailure() else countSuccess()
        val whole = AttemptOutcome.Whole(
            response = checkNotNull(response) { "a whole answer has a head" },
            head = decoded,
            body = checkNotNull(wholeBody) { "a whole answer has a body" },
        )
        wholeBody = null
        end(whole)
    }

    private fun countSuccess() {
        endpoint.succeeded()
        speed.answerIsWhole()
        context.observer.countAnswer(request.service, endpoint.description.version)
    }

    private fun countFailure() {
        context.observer.countError(request.service, endpoint.description.version)
        endpoint.failed(context.timeSource.markNow())
    }

    override fun onBroken(reason: String, isLost: Boolean) {
        if (!isOver) broken(reason, isLost)
    }

    private fun broken(reason: String, isConnectionLost: Boolean = false) {
        request.caller.log("broken", "endpoint" to endpoint, "reason" to reason, "last_event" to progress.lastEvent)
        connection.abandon()
        endpoint.failed(context.timeSource.markNow())
        end(AttemptOutcome.Broken(mayHaveCrashed = isConnectionLost && responseHead == null))
    }

    private fun heard() {
        lastHeard = context.timeSource.markNow()
        endpoint.lastHeard = lastHeard
    }

    private companion object {
        const val LEAST_URGENT = 9
        val SUCCESSES = 200..299

        /** Bytes of an answer that is held until it is whole; larger ones are not expected of plain services. */
        const val LARGEST_WHOLE_BODY = 8 * 1024 * 1024

        /** Bytes of such answers that all requests may hold together; well below the memory of a small instance. */
        const val MOST_HELD_BYTES = 32 * 1024 * 1024

        /** Shortest pause between two looks at a silent endpoint. */
        val ShortestCheck = 50.milliseconds
    }
}
