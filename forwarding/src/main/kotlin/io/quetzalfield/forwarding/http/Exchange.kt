package io.quetzalfield.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import io.quetzalfield.forwarding.DecisionLog
import io.quetzalfield.forwarding.RepeatReason
import io.quetzalfield.forwarding.choice.FirstAnswer
import io.quetzalfield.forwarding.choice.Placement
import io.quetzalfield.forwarding.choice.RolloutSubject
import io.quetzalfield.forwarding.choice.Work
import io.quetzalfield.forwarding.configuration.RoutingConfiguration
import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.schedule
import io.quetzalfield.model.ModelId
import io.quetzalfield.model.VersionId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A caller's whole request. The exchange releases [body]. */
public class CallerRequest(public val message: HttpRequest, public val head: RequestHead, public val body: ByteBuf) {
    /** Writes a log line on this request. */
    internal fun log(event: String, vararg fields: Pair<String, Any?>) =
        DecisionLog.write(event, "request" to head.id?.value, *fields)
}

/** One request from its arrival to its final answer. Runs on the event loop. */
public class Exchange(
    private val context: RoutingContext,
    private val caller: CallerRequest,
    private val reply: CallerReply,
    private val onFinished: () -> Unit,
) {
    private val head = caller.head
    private val arrivedAt = context.timeSource.markNow()
    private val runs = RunRecord()
    private val progress = StreamProgress(reply, resumeAfter = head.lastEvent)
    private var sender: Sender? = null
    private var isFinished = false

    init {
        context.openExchanges++
    }

    /** Decides on the request and sends it on, or answers it at once. */
    public fun start() {
        if (isFinished) return
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
        caller.log("cancelled")
        sender?.attempt?.abandon("caller left")
        finish()
    }

    /** The caller's connection takes more bytes again. */
    public fun resumeReading() {
        sender?.attempt?.setAutoRead(true)
    }

    private fun admit(configuration: RoutingConfiguration) {
        val route = configuration.route(head.host, head.path) ?: return deny(STATUS_NOT_FOUND, AnswerReason.NO_ROUTE)
        val account = head.apiKey?.let(configuration::account)
        if (configuration.hasAccounts && !route.isPublic && account == null) {
            return deny(STATUS_UNAUTHORIZED, AnswerReason.UNKNOWN_KEY)
        }
        if (head.id == null) return deny(STATUS_BAD_REQUEST, AnswerReason.BAD_REQUEST)
        val patience = minOf(head.patience ?: route.timeout, route.timeout)
        val request = AdmittedRequest(
            context = context,
            caller = caller,
            route = route,
            service = context.pickService(route),
            account = account.takeUnless { route.isPublic },
            arrivedAt = arrivedAt,
            deadline = arrivedAt + patience,
        )
        context.retryAllowance.countRequest(request.service)
        Sender(request).also { sender = it }.start()
    }

    private fun refuse(reason: AnswerReason) {
        val proof = checkNotNull(runs.proof()) { "a request is refused before it is sent" }
        answer(OwnAnswer.NotRun(STATUS_UNAVAILABLE, reason, retryAfter(reason), proof))
    }

    private fun deny(status: Int, reason: AnswerReason) = answer(OwnAnswer.Denied(status, reason))

    /** Ends the request without an answer of an endpoint. */
    private fun giveUp(reason: AnswerReason) {
        if (isFinished) return
        if (progress.hasBegun) {
            caller.log("broken_off", "reason" to reason, "last_event" to progress.lastEvent)
            reply.breakOff()
            return finish()
        }
        val proof = runs.proof()
        when {
            proof != null -> answer(OwnAnswer.NotRun(STATUS_UNAVAILABLE, reason, retryAfter(reason), proof))
            reason == AnswerReason.TIMED_OUT -> answer(OwnAnswer.Failed(STATUS_GATEWAY_TIMEOUT, reason))
            else -> answer(OwnAnswer.Failed(STATUS_BAD_GATEWAY, reason))
        }
    }

    private fun answer(answer: OwnAnswer) {
        val after = arrivedAt.elapsedNow()
        context.metrics.countOwn(answer.status, answer.reason, after)
        caller.log(
            "own_answer",
            "status" to answer.status,
            "reason" to answer.reason,
            "after" to after,
            "attempts" to (sender?.attemptsSent ?: 0),
            "configuration" to context.configuration.current?.revision?.value,
            "configuration_age" to context.configuration.age(),
        )
        reply.sendOwn(answer)
        finish()
    }

    /** A random delay, so that callers refused together do not return together. */
    private fun retryAfter(reason: AnswerReason): Duration = if (reason == AnswerReason.QUARANTINED) {
        QuarantinedReturn
    } else {
        ShortestReturn + ReturnSpread * context.random.nextDouble()
    }

    private fun finish() {
        isFinished = true
        sender?.finished()
        caller.body.release()
        context.openExchanges--
        onFinished()
    }

    /** Sends an admitted request to one endpoint after another until one answers it. */
    private inner class Sender(private val request: AdmittedRequest) : AttemptOwner {
        private val route = request.route
        private val service = request.service
        private val subject = RolloutSubject.of(head.session, head.id)
        private val tried = HashSet<Endpoint>()
        private var connectsFailed = 0
        private var model: ModelId? = firstModel()

        /** Versions whose endpoints failed the request; others go first when it is repeated. */
        private val failedVersions = HashSet<VersionId>()

        private val deadlineTimer = context.eventLoop.schedule(request.remaining, ::timeOut)

        /** The attempt that runs now. */
        var attempt: Attempt? = null
            private set

        var attemptsSent = 0
            private set

        fun start() = send()

        private fun firstModel(): ModelId? = if (head.leavesModelOpen && route.models.isNotEmpty()) {
            context.cascade.first(route.models, context.occupancy(service))
        } else {
            head.model
        }

        /** Sends the request to the endpoint that suits best now. */
        private fun send() {
            if (isFinished) return
            if (isQuarantined()) return giveUp(AnswerReason.QUARANTINED)
            val work = Work(model, head.prompt)
            val placement = context.placement.choose(work, candidates(), context.timeSource.markNow())
                ?: return giveUp(AnswerReason.NO_ENDPOINT)
            val endpoint = placement.endpoint
            tried += endpoint
            context.connections.acquire(
                endpoint.description.address,
                limit = context.connectionLimit(service),
                longestIdle = if (route.isRepeatable) KEPT_FOR_REPEATABLE else KEPT_FOR_OTHERS,
                onFailure = { failure -> connectFailed(endpoint, failure) },
                onReady = { connection -> connected(placement, connection) },
            )
        }

        private fun isQuarantined(): Boolean =
            context.crashes.hasSuspects && context.crashes.isQuarantined(request.fingerprint)

        private fun candidates(): List<Endpoint> {
            val eligible = context.endpoints.eligible(service)
            val chosen = context.versions.filter(service, subject, eligible).ofStreamVersion()
            val allowed = if (failedVersions.isEmpty()) chosen else awayFromFailed(chosen, eligible)
            val fresh = allowed.filterNot(tried::contains)
            return fresh.ifEmpty { allowed }.ifEmpty { lastResort(eligible) }
        }

        /**
         * A version that is being rolled out and failed the request does not get it again. Past the first share this
         * holds for requests outside sessions only, as a session does not go back to the version before.
         */
        private fun awayFromFailed(chosen: List<Endpoint>, eligible: List<Endpoint>): List<Endpoint> {
            val step = context.versions.runningStepOf(service)?.takeIf { it.target in failedVersions } ?: return chosen
            val mayLeave = !subject.isSession || step.isAtFirstShare
            if (progress.hasBegun || !mayLeave) return chosen
            return eligible.filter { it.description.version != step.target }.ifEmpty { chosen }
        }

        private fun lastResort(eligible: List<Endpoint>): List<Endpoint> =
            if (eligible.isEmpty()) context.endpoints.lastResort(service).ofStreamVersion() else emptyList()

        private fun List<Endpoint>.ofStreamVersion(): List<Endpoint> =
            progress.version?.let { version -> filter { it.description.version == version } } ?: this

        private fun connectFailed(endpoint: Endpoint, failure: ConnectFailure) {
            if (failure == ConnectFailure.REFUSED_OR_TIMED_OUT) endpoint.failed(context.timeSource.markNow())
            caller.log("connect_failed", "endpoint" to endpoint, "failure" to failure)
            connectsFailed++
            if (connectsFailed >= MOST_CONNECTS) return giveUp(AnswerReason.ENDPOINTS_FULL)
            context.metrics.countRepeat(RepeatReason.CONNECT_FAILED)
            send()
        }

        private fun connected(placement: Placement, connection: EndpointConnection) {
            if (isFinished) return connection.abandon()
            if (!context.isConfigurationCurrent) {
                connection.abandon()
                return giveUp(AnswerReason.CONFIGURATION_UNCONFIRMED)
            }
            if (!placement.endpoint.isUsable()) {
                connection.abandon()
                return send()
            }
            attemptsSent++
            runs.sending()
            noteSession(placement.endpoint)
            val next = Attempt(request, progress, reply, owner = this, placement, connection, model)
            attempt = next
            next.start(attemptsSent)
        }

        private fun noteSession(endpoint: Endpoint) {
            val session = head.session ?: return
            val version = endpoint.description.version
            val before = context.sessions.sent(service, session, version, isRepeat = attemptsSent > 1) ?: return
            context.metrics.countSessionMove()
            caller.log("session_moved", "session" to session.value, "from" to before.value, "to" to version.value)
        }

        /** The request has its final answer. */
        fun finished() {
            deadlineTimer.cancel(false)
            if (attemptsSent > 0) head.session?.let { context.sessions.ended(service, it) }
        }

        private fun Endpoint.isUsable() = isEligible || context.endpoints.eligible(service).isEmpty()

        /** Sends the request once more if the route and the budget allow it; says whether it does. */
        private fun repeat(reason: RepeatReason, isNewRun: Boolean): Boolean {
            val isAllowed = hasAttemptLeft() &&
                (!isNewRun || !runs.mayHaveRun || route.isRepeatable) &&
                context.retryAllowance.trySpend(service)
            if (!isAllowed) return false
            caller.log("repeat", "reason" to reason, "attempts" to attemptsSent, "remaining" to request.remaining)
            sendAgain(reason)
            return true
        }

        private fun sendAgain(reason: RepeatReason) {
            context.metrics.countRepeat(reason)
            send()
        }

        /** Whether the route and the time left allow one more send. */
        private fun hasAttemptLeft() = attemptsSent < route.attemptLimit && request.remaining > LeastUsefulTime

        private fun timeOut() {
            if (isFinished) return
            attempt?.timeOut()
            giveUp(AnswerReason.TIMED_OUT)
        }

        override fun takeLargerModel(asked: ModelId, answer: FirstAnswer): ModelId? {
            val larger = context.cascade.next(route.models, asked, answer) ?: return null
            val isAllowed = attemptsSent < route.attemptLimit && context.retryAllowance.trySpend(service)
            return larger.takeIf { isAllowed }
        }

        override fun mayLeaveSilentEndpoint(): Boolean = hasAttemptLeft() && context.retryAllowance.trySpend(service)

        override fun ended(attempt: Attempt, outcome: AttemptOutcome) {
            if (this.attempt === attempt) this.attempt = null
            when (outcome) {
                is AttemptOutcome.StatedNotRun -> statedNotRun()
                is AttemptOutcome.TooUncertain -> askLarger(outcome.larger)
                is AttemptOutcome.Silent -> sendAgain(RepeatReason.SILENT)
                is AttemptOutcome.Broken -> broken(attempt.endpoint, outcome)
                is AttemptOutcome.Whole -> whole(attempt.endpoint, outcome)
                is AttemptOutcome.StreamEnded -> streamEnded(attempt.endpoint, outcome)
            }
        }

        private fun statedNotRun() {
            runs.statedNotRun()
            if (!repeat(RepeatReason.STATED_NOT_RUN, isNewRun = false)) giveUp(AnswerReason.ENDPOINTS_FULL)
        }

        private fun askLarger(larger: ModelId) {
            model = larger
            tried.clear()
            sendAgain(RepeatReason.LOW_CONFIDENCE)
        }

        private fun broken(endpoint: Endpoint, outcome: AttemptOutcome.Broken) {
            if (outcome.mayHaveCrashed) noteCrash(endpoint)
            val reason = if (progress.hasBegun) RepeatReason.RESUMED else RepeatReason.BROKEN
            if (!repeat(reason, isNewRun = true)) giveUp(AnswerReason.ATTEMPT_FAILED)
        }

        /** The endpoint may have crashed, and the request may be the cause. */
        private fun noteCrash(endpoint: Endpoint) {
            context.crashes.noteCrash(request.fingerprint, endpoint.startId)
            caller.log("crash_suspected", "endpoint" to endpoint, "fingerprint" to request.fingerprint.value)
        }

        private fun whole(endpoint: Endpoint, outcome: AttemptOutcome.Whole) {
            if (outcome.head.isFailure) {
                failedVersions += endpoint.description.version
                if (repeat(RepeatReason.SERVER_ERROR, isNewRun = true)) {
                    outcome.body.release()
                    return
                }
            }
            countAnswered(endpoint, outcome.head)
            if (progress.hasBegun) {
                outcome.body.release()
                return giveUp(AnswerReason.ATTEMPT_FAILED)
            }
            reply.sendWhole(outcome.response, outcome.body)
            finish()
        }

        private fun streamEnded(endpoint: Endpoint, outcome: AttemptOutcome.StreamEnded) {
            countAnswered(endpoint, outcome.head)
            reply.endStream()
            finish()
        }

        private fun countAnswered(endpoint: Endpoint, answer: ResponseHead) {
            val after = arrivedAt.elapsedNow()
            if (context.crashes.hasSuspects) context.crashes.noteAnswer(request.fingerprint)
            caller.log(
                "answered",
                "status" to answer.status,
                "endpoint" to endpoint,
                "first_event" to progress.firstEventAfter,
                "after" to after,
            )
            context.metrics.countForwarded(answer.status, after)
        }
    }

    private companion object {
        const val STATUS_BAD_REQUEST = 400
        const val STATUS_UNAUTHORIZED = 401
        const val STATUS_NOT_FOUND = 404
        const val STATUS_BAD_GATEWAY = 502
        const val STATUS_UNAVAILABLE = 503
        const val STATUS_GATEWAY_TIMEOUT = 504

        /** Connections that one request may fail to get before it is given up. */
        const val MOST_CONNECTS = 6

        /** Parts of an endpoint's idle timeout; at the end of it a request may cross the endpoint's close. */
        const val KEPT_FOR_REPEATABLE = 0.8
        const val KEPT_FOR_OTHERS = 0.5

        /** An attempt with less time than this cannot be answered: a round trip and the shortest work. */
        val LeastUsefulTime = 30.milliseconds

        /** Callers come back after this, spread over the second figure. */
        val ShortestReturn = 200.milliseconds
        val ReturnSpread = 600.milliseconds

        /** A request that crashes endpoints has no better time to come back; this only slows its caller down. */
        val QuarantinedReturn = 30.seconds
    }
}
