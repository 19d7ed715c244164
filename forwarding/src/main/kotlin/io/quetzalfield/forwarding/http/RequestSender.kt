package io.quetzalfield.forwarding.http

import io.quetzalfield.forwarding.RepeatDenial
import io.quetzalfield.forwarding.RepeatReason
import io.quetzalfield.forwarding.choice.FirstAnswer
import io.quetzalfield.forwarding.choice.Placement
import io.quetzalfield.forwarding.choice.RolloutSubject
import io.quetzalfield.forwarding.choice.Work
import io.quetzalfield.forwarding.crashes.CrashAdmission
import io.quetzalfield.forwarding.crashes.CrashCandidate
import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.schedule
import io.quetzalfield.model.ModelId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The exchange on whose behalf a [RequestSender] sends a request. */
internal interface RequestOwner {
    /** Whether the request has its final answer. */
    val isFinished: Boolean

    /** Ends the request without a final answer of an endpoint. */
    fun giveUp(reason: AnswerReason)

    /** Ends the request once its final answer has been passed on. */
    fun finish()
}

/** Sends an admitted request to one endpoint after another until one of them answers it. */
internal class RequestSender(
    private val request: AdmittedRequest,
    private val runs: RunRecord,
    private val progress: StreamProgress,
    private val reply: CallerReply,
    private val owner: RequestOwner,
) : AttemptOwner {
    private val context = request.context
    private val caller = request.caller
    private val head = request.head
    private val route = request.route
    private val service = request.service
    private val subject = RolloutSubject.of(head.session, head.id)
    private val candidates = EndpointCandidates(context, service, subject, progress, route.isRepeatable)
    private var connectFailures = 0
    private var model: ModelId? = firstModel()

    /** Whether the next send tries a part of the prompt that is refused otherwise. */
    private var isTrial = false
    private val onMoreRefused = ::leaveIfRefused

    /**
     * Connections over which the request was sent. A repeat does not use them: it has the same id, and a late
     * second response to an earlier send would be taken for the response to the repeat.
     */
    private val usedConnections = HashSet<EndpointConnection>()

    private val deadlineTimer = context.eventLoop.schedule(request.remaining, ::timeOut)

    /** The running attempt. */
    var attempt: Attempt? = null
        private set

    var attemptsSent = 0
        private set

    fun start() {
        context.crashes.addRefusalListener(onMoreRefused)
        send()
    }

    private fun firstModel(): ModelId? = if (head.isModelOpen && route.models.isNotEmpty()) {
        context.cascade.first(route.models, context.occupancy(service))
    } else {
        head.model
    }

    /** Selects an endpoint for the request and sends it there. */
    private fun send() {
        if (owner.isFinished) return
        crashRefusal()?.let { return owner.giveUp(it) }
        val work = Work(model, head.prompt)
        val known = candidates.all
        val placement = context.placement.choose(work, candidates.open(known), context.timeSource.markNow())
            ?: return onNoCandidate(known)
        val endpoint = placement.endpoint
        candidates.recordTry(endpoint)
        context.connections.acquire(
            endpoint.description.address,
            limit = context.connectionLimit(service),
            idleFraction = if (route.isRepeatable) IDLE_FRACTION_REPEATABLE else IDLE_FRACTION_OTHERS,
            excluded = usedConnections,
            onFailure = { failure -> onConnectFailed(endpoint, failure) },
            onReady = { connection -> onConnected(placement, connection) },
        )
    }

    /** Why the request may not be sent, as it makes endpoints end; `null` if it may. */
    private fun crashRefusal(): AnswerReason? {
        if (isTrial || context.crashes.isEmpty) return null
        return when (val admission = context.crashes.admission(head.sharedParts) { request.fingerprint }) {
            CrashAdmission.Allowed -> null

            is CrashAdmission.Trial -> {
                isTrial = true
                caller.log("crash_trial", "suspect" to admission.suspect)
                null
            }

            is CrashAdmission.Refused -> {
                caller.log("crash_refused", "suspect" to admission.suspect, "confirmed" to admission.isConfirmed)
                if (admission.isConfirmed) AnswerReason.QUARANTINED else AnswerReason.CRASH_UNCONFIRMED
            }
        }
    }

    /** Gives up a request that would be refused now and that its endpoint may be about to begin. */
    private fun leaveIfRefused() {
        val current = attempt ?: return
        if (owner.isFinished || isTrial || current.isAnswerWellBegun) return
        if (!context.crashes.isRefused(head.sharedParts) { request.fingerprint }) return
        current.abandon("refused as crashing")
        owner.giveUp(AnswerReason.QUARANTINED)
    }

    /** Refuses the request; a stream that has begun waits for a short time, as it would be cut otherwise. */
    private fun onNoCandidate(known: List<Endpoint>) {
        if (known.isEmpty()) {
            val isEvacuated = context.endpoints.isEvacuated(service)
            return owner.giveUp(if (isEvacuated) AnswerReason.ENDPOINTS_EVACUATED else AnswerReason.NO_ENDPOINT)
        }
        val wait = candidates.timeUntilOpen()
        if (!progress.hasBegun || wait > minOf(LongestResumeWait, request.remaining)) {
            return owner.giveUp(AnswerReason.ENDPOINTS_LIMITED)
        }
        caller.log("resume_waits", "wait" to wait, "last_event" to progress.lastEvent)
        context.eventLoop.schedule(wait + 1.milliseconds, ::send)
    }

    /** Delay after which the limits of the endpoints allow a request of this caller. */
    fun delayByLimits(): Duration =
        context.returns.delay(service, context.limits.ratePerInstance(candidates.all), request.remaining)

    private fun onConnectFailed(endpoint: Endpoint, failure: ConnectFailure) {
        if (failure != ConnectFailure.LIMIT_REACHED) endpoint.recordFailure(context.timeSource.markNow())
        caller.log("connect_failed", "endpoint" to endpoint, "failure" to failure)
        connectFailures++
        if (connectFailures >= CONNECT_FAILURE_LIMIT) return owner.giveUp(AnswerReason.ENDPOINTS_FULL)
        context.metrics.countRepeat(RepeatReason.CONNECT_FAILED)
        send()
    }

    private fun onConnected(placement: Placement, connection: EndpointConnection) {
        if (owner.isFinished) return connection.abandon()
        if (!context.isConfigurationCurrent) {
            connection.abandon()
            return owner.giveUp(AnswerReason.CONFIGURATION_UNCONFIRMED)
        }
        if (!context.endpoints.isUsable(placement.endpoint)) {
            connection.abandon()
            return send()
        }
        crashRefusal()?.let {
            context.connections.release(connection)
            return owner.giveUp(it)
        }
        if (!context.limits.mayReceive(placement.endpoint)) {
            caller.log("limit_reached", "endpoint" to placement.endpoint)
            context.connections.release(connection)
            return send()
        }
        context.limits.recordSend(placement.endpoint)
        placement.endpoint.trust.recordSend(context.timeSource.markNow())
        attemptsSent++
        usedConnections += connection
        runs.recordSend()
        recordSessionVersion(placement.endpoint)
        val next = Attempt(request, progress, reply, owner = this, placement, connection, model)
        attempt = next
        next.start(attemptsSent)
    }

    private fun recordSessionVersion(endpoint: Endpoint) {
        val session = head.session ?: return
        val version = endpoint.description.version
        val before = context.sessions.requestSent(service, session, version, isRepeat = attemptsSent > 1) ?: return
        context.metrics.countSessionMove()
        caller.log("session_moved", "session" to session.value, "from" to before.value, "to" to version.value)
    }

    /** Called when the request has its final answer. */
    fun close() {
        context.crashes.removeRefusalListener(onMoreRefused)
        deadlineTimer.cancel(false)
        if (attemptsSent > 0) head.session?.let { context.sessions.requestEnded(service, it) }
    }

    /** Sends the request again, or refuses it, and returns `true`, if the route and the retry budget allow it. */
    private fun tryRepeat(reason: RepeatReason, isNewRun: Boolean): Boolean {
        val isRepeatable = !isNewRun || !runs.mayHaveRun || route.isRepeatable
        if (!trySpendRepeat(reason, denialOf(isRepeatable))) return false
        crashRefusal()?.let {
            context.retryAllowance.giveBack(service)
            owner.giveUp(it)
            return true
        }
        sendAgain(reason)
        return true
    }

    /** Returns why the request may not be sent again, apart from the retry budget; `null` if it may. */
    private fun denialOf(isRepeatable: Boolean): RepeatDenial? = when {
        attemptsSent >= route.attemptLimit -> RepeatDenial.ATTEMPTS_SPENT
        request.remaining <= ShortestAttempt -> RepeatDenial.NO_TIME_LEFT
        !candidates.hasOpen -> RepeatDenial.NO_ENDPOINT
        !isRepeatable || (progress.hasBegun && !progress.isContinuable) -> RepeatDenial.NOT_REPEATABLE
        else -> null
    }

    /** Charges a repeat for [reason] to the retry budget, unless there is a [denial] or nothing is left. */
    private fun trySpendRepeat(reason: RepeatReason, denial: RepeatDenial?): Boolean {
        val isCharged = denial == null && context.retryAllowance.trySpend(service)
        val denied = if (isCharged) null else denial ?: RepeatDenial.BUDGET_SPENT
        denied?.let(context.metrics::countRepeatDenied)
        val balance = context.retryAllowance.balance(service)
        caller.log(
            if (isCharged) "repeat" else "repeat_denied",
            "reason" to reason,
            "denied" to denied,
            "attempts" to attemptsSent,
            "remaining" to request.remaining,
            "service" to service.value,
            "spent" to balance.spent,
            "allowed" to balance.allowed.toInt(),
            "instances" to balance.instances,
        )
        return isCharged
    }

    private fun sendAgain(reason: RepeatReason) {
        context.metrics.countRepeat(reason)
        send()
    }

    private fun timeOut() {
        if (owner.isFinished) return
        attempt?.timeOut()
        owner.giveUp(AnswerReason.TIMED_OUT)
    }

    override fun trySelectLargerModel(asked: ModelId, answer: FirstAnswer): ModelId? {
        val inTime = answer.copy(timeLeft = request.remaining)
        val now = context.timeSource.markNow()
        val larger = context.largerModels.next(route.models, asked, inTime, head.prompt, candidates.all, now)
            ?: return null
        // The part of a limited endpoint is left for requests that have no answer yet.
        if (!candidates.hasUnlimited) return null
        val denial = if (attemptsSent < route.attemptLimit) null else RepeatDenial.ATTEMPTS_SPENT
        return larger.takeIf { trySpendRepeat(RepeatReason.LOW_CONFIDENCE, denial) }
    }

    override fun tryLeaveSilentEndpoint(): Boolean = trySpendRepeat(RepeatReason.SILENT, denialOf(isRepeatable = true))

    override fun onEnded(attempt: Attempt, outcome: AttemptOutcome) {
        if (this.attempt === attempt) this.attempt = null
        isTrial = isTrial && outcome !is AttemptOutcome.Broken && outcome !is AttemptOutcome.Silent
        when (outcome) {
            is AttemptOutcome.StatedNotRun -> onStatedNotRun()
            is AttemptOutcome.LowConfidence -> sendToLargerModel(outcome.larger)
            is AttemptOutcome.Silent -> sendAgain(RepeatReason.SILENT)
            is AttemptOutcome.Broken -> onBroken(attempt.endpoint, outcome)
            is AttemptOutcome.Complete -> onComplete(attempt.endpoint, outcome)
            is AttemptOutcome.StreamComplete -> onStreamComplete(attempt.endpoint, outcome)
        }
    }

    private fun onStatedNotRun() {
        runs.recordNotRun()
        if (!tryRepeat(RepeatReason.STATED_NOT_RUN, isNewRun = false)) owner.giveUp(AnswerReason.ENDPOINTS_FULL)
    }

    private fun sendToLargerModel(larger: ModelId) {
        model = larger
        candidates.forgetTries()
        sendAgain(RepeatReason.LOW_CONFIDENCE)
    }

    private fun onBroken(endpoint: Endpoint, outcome: AttemptOutcome.Broken) {
        outcome.candidate?.let { recordSuspectedCrash(endpoint, it, outcome.openedAt) }
        val reason = if (progress.hasBegun) RepeatReason.RESUMED else RepeatReason.BROKEN
        if (!tryRepeat(reason, isNewRun = true)) owner.giveUp(AnswerReason.ATTEMPT_FAILED)
    }

    /** Records that the request may have made the endpoint end, unless its end was announced. */
    private fun recordSuspectedCrash(endpoint: Endpoint, candidate: CrashCandidate, openedAt: ComparableTimeMark) {
        if (!endpoint.isEligible) return
        context.crashes.recordLoss(endpoint, candidate, openedAt)
        caller.log(
            "crash_suspected",
            "endpoint" to endpoint,
            "fingerprint" to candidate.request.value,
            "has_begun" to candidate.hasBegun,
        )
    }

    private fun onComplete(endpoint: Endpoint, outcome: AttemptOutcome.Complete) {
        if (outcome.head.isFailure) {
            candidates.recordFailure(endpoint)
            if (tryRepeat(RepeatReason.SERVER_ERROR, isNewRun = true)) {
                outcome.body.release()
                return
            }
        }
        countAnswered(endpoint, outcome.head)
        if (progress.hasBegun) {
            outcome.body.release()
            return owner.giveUp(AnswerReason.ATTEMPT_FAILED)
        }
        reply.sendComplete(outcome.response, outcome.body)
        owner.finish()
    }

    private fun onStreamComplete(endpoint: Endpoint, outcome: AttemptOutcome.StreamComplete) {
        countAnswered(endpoint, outcome.head)
        reply.endStream()
        owner.finish()
    }

    private fun countAnswered(endpoint: Endpoint, answer: ResponseHead) {
        val after = request.arrivedAt.elapsedNow()
        context.crashes.recordAnswer { request.fingerprint }
        caller.log(
            "answered",
            "status" to answer.status,
            "endpoint" to endpoint,
            "first_event" to progress.firstEventAfter,
            "after" to after,
        )
        context.metrics.countForwarded(answer.status, after)
    }

    private companion object {
        /** Failures to get a connection after which a request is given up. */
        const val CONNECT_FAILURE_LIMIT = 6

        /**
         * Fractions of an endpoint's idle timeout up to which a connection is reused: near its end, a request may cross
         * the endpoint's close.
         */
        const val IDLE_FRACTION_REPEATABLE = 0.8
        const val IDLE_FRACTION_OTHERS = 0.5

        /** Time of a round trip and the shortest work; an attempt with less time left cannot be answered. */
        val ShortestAttempt = 30.milliseconds

        /** Callers give up a stream that sends nothing for about two seconds. */
        val LongestResumeWait = 1.seconds
    }
}
