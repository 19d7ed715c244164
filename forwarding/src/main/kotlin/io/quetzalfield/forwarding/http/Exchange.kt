package io.quetzalfield.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.util.concurrent.ScheduledFuture
import io.quetzalfield.forwarding.DecisionLog
import io.quetzalfield.forwarding.RepeatReason
import io.quetzalfield.forwarding.choice.FirstAnswer
import io.quetzalfield.forwarding.choice.RolloutPhase
import io.quetzalfield.forwarding.choice.SilencePolicy
import io.quetzalfield.forwarding.choice.SilenceVerdict
import io.quetzalfield.forwarding.choice.Work
import io.quetzalfield.forwarding.configuration.ClientAccount
import io.quetzalfield.forwarding.configuration.Route
import io.quetzalfield.forwarding.configuration.RoutingConfiguration
import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.model.ModelId
import io.quetzalfield.model.ServiceId
import io.quetzalfield.model.VersionId
import java.util.concurrent.TimeUnit
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A caller's whole request. The exchange releases [body]. */
public class CallerRequest(public val message: HttpRequest, public val head: RequestHead, public val body: ByteBuf)

/** One request from its arrival to its final answer. Runs on the event loop. */
public class Exchange(
    private val context: RoutingContext,
    private val request: CallerRequest,
    private val reply: CallerReply,
    private val onFinished: () -> Unit,
) {
    private val head = request.head
    private val arrivedAt = context.timeSource.markNow()
    private val runs = RunRecord()
    private val tried = HashSet<Endpoint>()
    private lateinit var route: Route
    private var service: ServiceId = ServiceId("")
    private var account: ClientAccount? = null
    private lateinit var deadline: ComparableTimeMark
    private var deadlineTimer: ScheduledFuture<*>? = null
    private var attempt: Attempt? = null
    private var attemptsSent = 0
    private var connectsFailed = 0
    private var model: ModelId? = null
    private var isFinished = false

    /** Whether the caller has any of a stream. */
    private var hasBegun = false

    /** The last event that the caller has. */
    private var lastEvent: Long? = head.lastEvent

    /** The version that a stream has begun with; it goes on with no other. */
    private var streamVersion: VersionId? = null

    /** Versions whose endpoints failed the request; others go first when it is repeated. */
    private val failedVersions = HashSet<VersionId>()

    /** Decides on the request and sends it on, or answers it at once. */
    public fun start() {
        context.openExchanges++
        val configuration = context.configuration.current
        when {
            context.isRefusing -> refuse(AnswerReason.SHUTTING_DOWN)
            configuration == null -> refuse(AnswerReason.NO_CONFIGURATION)
            !context.isConfigurationCurrent -> refuse(AnswerReason.CONFIGURATION_UNCONFIRMED)
            else -> admit(configuration)
        }
    }

    /** The caller has left: whatever runs for the request is stopped. */
    public fun cancel() {
        if (isFinished) return
        context.metrics.countCancelled()
        log("cancelled")
        attempt?.abandon("caller left")
        finish()
    }

    /** The caller's connection takes more bytes again. */
    public fun resumeReading() {
        attempt?.setAutoRead(true)
    }

    private fun admit(configuration: RoutingConfiguration) {
        val found = configuration.route(head.host, head.path)
        if (found == null) return deny(STATUS_NOT_FOUND, AnswerReason.NO_ROUTE)
        route = found
        if (configuration.hasAccounts && !route.isPublic) {
            account = head.apiKey?.let(configuration::account)
                ?: return deny(STATUS_UNAUTHORIZED, AnswerReason.UNKNOWN_KEY)
        }
        if (head.id == null) return deny(STATUS_BAD_REQUEST, AnswerReason.BAD_REQUEST)
        service = pickService()
        val patience = minOf(head.patience ?: route.timeout, route.timeout)
        deadline = arrivedAt + patience
        deadlineTimer = schedule(patience, ::timeOut)
        model = if (head.leavesModelOpen) {
            context.cascade.first(route.models, context.occupancy(context.endpoints.eligible(service)))
        } else {
            head.model
        }
        context.retryAllowance.countRequest(service)
        send()
    }

    private fun pickService(): ServiceId {
        val total = route.services.sumOf { it.weight }
        var position = if (total > 0) context.random.nextInt(total) else 0
        val picked = route.services.firstOrNull {
            position -= it.weight
            position < 0
        }
        return (picked ?: route.services.first()).service
    }

    /** Sends the request to the endpoint that suits best now. */
    private fun send() {
        if (isFinished) return
        val candidates = candidates()
        val work = Work(model, head.prompt)
        val endpoint = context.placement.choose(work, candidates, context.timeSource.markNow())
        if (endpoint == null) return giveUp(AnswerReason.NO_ENDPOINT)
        tried += endpoint
        context.connections.acquire(
            endpoint.description.address,
            limit = connectionLimit(),
            longestIdle = if (route.isRepeatable) KEPT_FOR_REPEATABLE else KEPT_FOR_OTHERS,
            onFailure = { failure -> connectFailed(endpoint, failure) },
            onReady = { connection -> connected(endpoint, connection) },
        )
    }

    private fun candidates(): List<Endpoint> {
        val subject = head.session?.value ?: head.id?.value.orEmpty()
        val eligible = context.endpoints.eligible(service)
        val chosen = context.versions.filter(service, subject, eligible).ofStreamVersion()
        val allowed = if (failedVersions.isEmpty()) chosen else awayFromFailed(chosen, eligible)
        val fresh = allowed.filterNot(tried::contains)
        return fresh.ifEmpty { allowed }.ifEmpty { lastResort(eligible) }
    }

    /** A version that is being rolled out and failed the request does not get it again. */
    private fun awayFromFailed(chosen: List<Endpoint>, eligible: List<Endpoint>): List<Endpoint> {
        val step = context.versions.stepOf(service)
        if (hasBegun || step?.phase != RolloutPhase.RUNNING || step.target !in failedVersions) return chosen
        return eligible.filter { it.description.version != step.target }.ifEmpty { chosen }
    }

    private fun lastResort(eligible: List<Endpoint>): List<Endpoint> =
        if (eligible.isEmpty()) context.endpoints.lastResort(service).ofStreamVersion() else emptyList()

    private fun List<Endpoint>.ofStreamVersion(): List<Endpoint> =
        streamVersion?.let { version -> filter { it.description.version == version } } ?: this

    private fun connectionLimit(): Int {
        val all = context.configuration.current?.services?.get(service)?.connectionLimit ?: DEFAULT_CONNECTION_LIMIT
        return (all * CONNECTION_SHARE / context.memberCount().coerceAtLeast(1)).toInt().coerceAtLeast(1)
    }

    private fun connectFailed(endpoint: Endpoint, failure: ConnectFailure) {
        if (failure == ConnectFailure.REFUSED_OR_TIMED_OUT) endpoint.failed(context.timeSource.markNow())
        log("connect_failed", "endpoint" to endpoint, "failure" to failure)
        connectsFailed++
        if (connectsFailed >= MOST_CONNECTS) return giveUp(AnswerReason.ENDPOINTS_FULL)
        context.metrics.countRepeat(RepeatReason.CONNECT_FAILED)
        send()
    }

    private fun connected(endpoint: Endpoint, connection: EndpointConnection) {
        val refusal = when {
            isFinished -> return connection.abandon()
            !context.isConfigurationCurrent -> AnswerReason.CONFIGURATION_UNCONFIRMED
            else -> null
        }
        if (refusal != null) {
            connection.abandon()
            return giveUp(refusal)
        }
        if (!endpoint.isUsable()) {
            connection.abandon()
            return send()
        }
        attemptsSent++
        runs.sending()
        Attempt(endpoint, connection, model).also { attempt = it }.start()
    }

    private fun Endpoint.isUsable() = isEligible || context.endpoints.eligible(service).isEmpty()

    /** Sends the request once more if the route and the budget allow it; says whether it does. */
    private fun repeat(reason: RepeatReason, isNewRun: Boolean): Boolean {
        val isAllowed = hasAttemptLeft() &&
            (!isNewRun || !runs.mayHaveRun || route.isRepeatable) &&
            context.retryAllowance.trySpend(service)
        if (!isAllowed) return false
        context.metrics.countRepeat(reason)
        log("repeat", "reason" to reason, "attempts" to attemptsSent, "remaining" to remaining())
        send()
        return true
    }

    /** Whether the route and the time left allow one more send. */
    private fun hasAttemptLeft() = attemptsSent < route.attemptLimit && remaining() > LeastUsefulTime

    private fun remaining(): Duration = deadline - context.timeSource.markNow()

    private fun timeOut() {
        if (isFinished) return
        attempt?.abandon("timed out")
        giveUp(AnswerReason.TIMED_OUT)
    }

    /** Ends the request without an answer of an endpoint. */
    private fun giveUp(reason: AnswerReason) {
        if (isFinished) return
        if (hasBegun) {
            log("broken_off", "reason" to reason, "last_event" to lastEvent)
            reply.breakOff()
            return finish()
        }
        val proof = runs.proof()
        when {
            proof != null -> answer(OwnAnswer.NotRun(STATUS_UNAVAILABLE, reason, retryAfter(), proof))
            reason == AnswerReason.TIMED_OUT -> answer(OwnAnswer.Failed(STATUS_GATEWAY_TIMEOUT, reason))
            else -> answer(OwnAnswer.Failed(STATUS_BAD_GATEWAY, reason))
        }
    }

    private fun refuse(reason: AnswerReason) {
        val proof = checkNotNull(runs.proof()) { "a request is refused before it is sent" }
        answer(OwnAnswer.NotRun(STATUS_UNAVAILABLE, reason, retryAfter(), proof))
    }

    private fun deny(status: Int, reason: AnswerReason) = answer(OwnAnswer.Denied(status, reason))

    private fun answer(answer: OwnAnswer) {
        val after = arrivedAt.elapsedNow()
        context.metrics.countOwn(answer.status, answer.reason, after)
        log(
            "own_answer",
            "status" to answer.status,
            "reason" to answer.reason,
            "after" to after,
            "attempts" to attemptsSent,
            "configuration" to context.configuration.current?.revision?.value,
            "configuration_age" to context.configuration.age(),
        )
        reply.sendOwn(answer)
        finish()
    }

    /** A random delay, so that callers refused together do not return together. */
    private fun retryAfter(): Duration = ShortestReturn + ReturnSpread * context.random.nextDouble()

    private fun finish() {
        isFinished = true
        deadlineTimer?.cancel(false)
        request.body.release()
        context.openExchanges--
        onFinished()
    }

    private fun schedule(delay: Duration, task: () -> Unit): ScheduledFuture<*> =
        context.eventLoop.schedule(task, delay.inWholeMilliseconds.coerceAtLeast(0), TimeUnit.MILLISECONDS)

    private fun log(event: String, vararg fields: Pair<String, Any?>) =
        DecisionLog.write(event, "request" to head.id?.value, *fields)

    /** One send to one endpoint. */
    private inner class Attempt(
        private val endpoint: Endpoint,
        private val connection: EndpointConnection,
        private val askedModel: ModelId?,
    ) : ResponseListener {
        private val sentAt = context.timeSource.markNow()
        private val unreadTokens = askedModel?.let { endpoint.cachedParts.unreadTokens(it, head.prompt) } ?: 0
        private var isPromptUnread = true
        private var isOver = false
        private var response: HttpResponse? = null
        private var responseHead: ResponseHead? = null
        private var wholeBody: ByteBuf? = null
        private var splitter: EventSplitter? = null
        private var lastHeard = sentAt
        private var silenceTimer: ScheduledFuture<*>? = null

        fun start() {
            endpoint.inFlight++
            endpoint.unreadTokens += unreadTokens
            if (askedModel != null) endpoint.cachedParts.add(askedModel, head.prompt)
            val attemptHead = AttemptHead(
                expected = endpoint.id,
                account = account?.account,
                remaining = remaining(),
                model = askedModel.takeIf { head.leavesModelOpen },
                resumeAfter = lastEvent,
                urgency = (account?.priority ?: route.priority).coerceIn(0, LEAST_URGENT),
            )
            log(
                "send",
                "endpoint" to endpoint,
                "version" to endpoint.description.version.value,
                "model" to askedModel?.value,
                "attempt" to attemptsSent,
                "in_flight" to endpoint.inFlight,
                "unread_tokens" to unreadTokens,
                "remaining" to attemptHead.remaining,
            )
            val message = context.dialect.encodeAttempt(request.message, request.body.readableBytes(), attemptHead)
            connection.send(message, request.body.retainedDuplicate(), this)
            if (route.isRepeatable) watchSilence()
        }

        /** Stops or resumes taking the answer's bytes, as fast as the caller takes them. */
        fun setAutoRead(isAutoRead: Boolean) {
            connection.channel.config().isAutoRead = isAutoRead
        }

        fun abandon(reason: String) {
            if (isOver) return
            log("abandon", "endpoint" to endpoint, "reason" to reason, "after" to sentAt.elapsedNow())
            connection.abandon()
            close()
        }

        private fun close() {
            isOver = true
            silenceTimer?.cancel(false)
            endpoint.inFlight--
            promptIsRead()
            wholeBody?.release()
            wholeBody = null
            splitter?.close()
            splitter = null
            if (attempt === this) attempt = null
        }

        private fun promptIsRead() {
            if (!isPromptUnread) return
            isPromptUnread = false
            endpoint.unreadTokens -= unreadTokens
        }

        /** Looks after the endpoint while it says nothing; a silent connection shows by nothing else. */
        private fun watchSilence() {
            val silence = SilencePolicy.silence(route, silenceOfEndpoint(), lastHeard.elapsedNow())
            val wait = SilencePolicy.limit(route) - silence
            silenceTimer = schedule(maxOf(wait, ShortestCheck)) {
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

        /** Moves the request to another endpoint, if it may be sent once more. */
        private fun silent() {
            if (!hasAttemptLeft()) return
            log("silent", "endpoint" to endpoint, "since" to lastHeard.elapsedNow())
            endpoint.failed(context.timeSource.markNow())
            if (!context.retryAllowance.trySpend(service)) return
            connection.abandon()
            close()
            context.metrics.countRepeat(RepeatReason.SILENT)
            send()
        }

        override fun onHead(response: HttpResponse): Boolean {
            val decoded = context.dialect.decodeResponse(response)
            heard()
            decoded.load?.let {
                endpoint.load = it
                endpoint.loadReportedAt = lastHeard
            }
            if (decoded.requestId != null && decoded.requestId != head.id) {
                log("skipped_response", "endpoint" to endpoint, "of" to decoded.requestId.value)
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
            runs.statedNotRun()
            if (decoded.isMisdirected) endpoint.isGone = true else endpoint.turnedAway(context.timeSource.markNow())
            log("not_run", "endpoint" to endpoint, "status" to decoded.status, "load" to decoded.load)
            connection.abandon()
            close()
            if (!repeat(RepeatReason.STATED_NOT_RUN, isNewRun = false)) giveUp(AnswerReason.ENDPOINTS_FULL)
        }

        private fun beginStream(decoded: ResponseHead) {
            promptIsRead()
            val larger = if (hasBegun || !head.leavesModelOpen) null else largerModel(decoded)
            if (larger != null && askLarger(larger)) return
            splitter = EventSplitter()
        }

        private fun largerModel(decoded: ResponseHead): ModelId? {
            val asked = askedModel ?: return null
            val eligible = context.endpoints.eligible(service)
            val answer = FirstAnswer(
                confidence = decoded.confidence,
                occupancy = context.occupancy(eligible),
                remaining = route.objective - arrivedAt.elapsedNow(),
                expectedStart = sentAt.elapsedNow(),
            )
            return context.cascade.next(route.models, asked, answer)
        }

        private fun askLarger(larger: ModelId): Boolean {
            val isAllowed = attemptsSent < route.attemptLimit && context.retryAllowance.trySpend(service)
            if (!isAllowed) return false
            log("ask_larger", "confidence" to responseHead?.confidence, "after" to arrivedAt.elapsedNow())
            connection.abandon()
            close()
            model = larger
            tried.clear()
            context.metrics.countRepeat(RepeatReason.LOW_CONFIDENCE)
            send()
            return true
        }

        override fun onContent(content: ByteBuf) {
            heard()
            val events = splitter
            if (events == null) {
                wholeBody?.writeBytes(content)
                content.release()
                if ((wholeBody?.readableBytes() ?: 0) > LARGEST_WHOLE_BODY) broken("body too large")
                return
            }
            for (event in events.add(content)) if (isOver) event.bytes.release() else pass(event)
        }

        private fun pass(event: StreamEvent) {
            val last = lastEvent
            if (event.number != null && last != null) {
                if (event.number <= last) return event.bytes.release().let { }
                if (hasBegun && event.number != last + 1) {
                    event.bytes.release()
                    return broken("event ${event.number} after $last")
                }
            }
            if (!hasBegun) beginReply()
            if (event.number != null) lastEvent = event.number
            reply.sendStreamPart(event.bytes)
            if (!reply.isWritable) setAutoRead(false)
        }

        private fun beginReply() {
            hasBegun = true
            streamVersion = endpoint.description.version
            context.metrics.observeFirstEvent(arrivedAt.elapsedNow())
            reply.sendStreamHead(checkNotNull(response) { "a stream starts with its head" })
        }

        override fun onEnd() {
            val decoded = responseHead
            if (isOver || decoded == null) return
            val events = splitter
            when {
                events == null -> endWhole(decoded)
                events.hasPartialEvent || !hasBegun -> broken("stream ended within an event")
                else -> endStream(decoded)
            }
        }

        private fun endStream(decoded: ResponseHead) {
            observe(isSlow = arrivedAt.elapsedNow() > route.timeout)
            countAnswered(decoded)
            close()
            reply.endStream()
            finish()
        }

        private fun endWhole(decoded: ResponseHead) {
            val isFailure = decoded.status >= FIRST_SERVER_ERROR
            if (isFailure) countFailure() else observe(isSlow = sentAt.elapsedNow() > route.objective)
            val body = checkNotNull(wholeBody) { "a whole answer has a body" }
            wholeBody = null
            close()
            if (isFailure && repeat(RepeatReason.SERVER_ERROR, isNewRun = true)) {
                body.release()
                return
            }
            countAnswered(decoded)
            if (hasBegun) {
                body.release()
                return giveUp(AnswerReason.ATTEMPT_FAILED)
            }
            reply.sendWhole(checkNotNull(response) { "a whole answer has a head" }, body)
            finish()
        }

        private fun countAnswered(decoded: ResponseHead) {
            val after = arrivedAt.elapsedNow()
            log("answered", "status" to decoded.status, "endpoint" to endpoint, "after" to after)
            context.metrics.countForwarded(decoded.status, after)
        }

        private fun observe(isSlow: Boolean) {
            endpoint.succeeded()
            context.observer.countAnswer(service, endpoint.description.version, isSlow)
        }

        private fun countFailure() {
            failedVersions += endpoint.description.version
            context.observer.countError(service, endpoint.description.version)
            endpoint.failed(context.timeSource.markNow())
        }

        override fun onBroken(reason: String) {
            if (isOver) return
            broken(reason)
        }

        private fun broken(reason: String) {
            log("broken", "endpoint" to endpoint, "reason" to reason, "last_event" to lastEvent)
            connection.abandon()
            endpoint.failed(context.timeSource.markNow())
            close()
            val repeatReason = if (hasBegun) RepeatReason.RESUMED else RepeatReason.BROKEN
            if (!repeat(repeatReason, isNewRun = true)) giveUp(AnswerReason.ATTEMPT_FAILED)
        }

        private fun heard() {
            lastHeard = context.timeSource.markNow()
            endpoint.lastHeard = lastHeard
        }
    }

    private companion object {
        const val STATUS_BAD_REQUEST = 400
        const val STATUS_UNAUTHORIZED = 401
        const val STATUS_NOT_FOUND = 404
        const val STATUS_BAD_GATEWAY = 502
        const val STATUS_UNAVAILABLE = 503
        const val STATUS_GATEWAY_TIMEOUT = 504
        const val FIRST_SERVER_ERROR = 500
        const val LEAST_URGENT = 9
        val SUCCESSES = 200..299

        /** Bytes of an answer that is held until it is whole; larger ones are not expected of plain services. */
        const val LARGEST_WHOLE_BODY = 8 * 1024 * 1024

        /** Used until the configuration names a limit: small enough for any server. */
        const val DEFAULT_CONNECTION_LIMIT = 64

        /** Part of an endpoint's connections that all instances use together; the rest covers members just joining. */
        const val CONNECTION_SHARE = 0.9

        /** Connections that one request may fail to get before it is given up. */
        const val MOST_CONNECTS = 6

        /** Parts of an endpoint's idle timeout; at the end of it a request may cross the endpoint's close. */
        const val KEPT_FOR_REPEATABLE = 0.8
        const val KEPT_FOR_OTHERS = 0.5

        /** An attempt with less time than this cannot be answered: a round trip and the shortest work. */
        val LeastUsefulTime = 30.milliseconds

        /** Shortest pause between two looks at a silent endpoint. */
        val ShortestCheck = 50.milliseconds

        /** Callers come back after this, spread over the second figure. */
        val ShortestReturn = 200.milliseconds
        val ReturnSpread = 600.milliseconds
    }
}
