package io.quetzalfield.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import io.quetzalfield.forwarding.DecisionLog
import io.quetzalfield.forwarding.configuration.RoutingConfiguration
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A complete request of a caller. The exchange releases [body]. */
public class CallerRequest(public val message: HttpRequest, public val head: RequestHead, public val body: ByteBuf) {
    /** Writes a log line about this request. */
    internal fun log(event: String, vararg fields: Pair<String, Any?>) =
        DecisionLog.write(event, "request" to head.id?.value, *fields)
}

/** The handling of one request, from its arrival to its final answer. Used on the event loop only. */
internal class Exchange(
    private val context: RoutingContext,
    private val caller: CallerRequest,
    private val reply: CallerReply,
    private val onFinished: () -> Unit,
) : RequestOwner {
    private val head = caller.head
    private val arrivedAt = context.timeSource.markNow()
    private val runs = RunRecord()
    private val progress = StreamProgress(reply, resumeAfter = head.lastEventId)
    private var sender: RequestSender? = null

    override var isFinished: Boolean = false
        private set

    init {
        context.openExchanges++
    }

    /** Checks the request, then forwards it or answers it at once. */
    public fun start() {
        if (isFinished) return
        val configuration = context.configuration.current
        when {
            context.isRefusing -> refuse(AnswerReason.SHUTTING_DOWN)
            configuration == null || !context.isStateKnown -> refuse(AnswerReason.NO_CONFIGURATION)
            !context.isConfigurationCurrent -> refuse(AnswerReason.CONFIGURATION_UNCONFIRMED)
            else -> admit(configuration)
        }
    }

    /** Called when the caller has disconnected; abandons the attempt that is running. */
    public fun cancel() {
        if (isFinished) return
        context.metrics.countCancelled()
        caller.log("cancelled")
        sender?.attempt?.abandon("caller disconnected")
        finish()
    }

    /** Ends the request as this instance is about to end: as not run if it was sent to no endpoint, else as failed. */
    public fun giveUpForShutdown() {
        if (isFinished) return
        sender?.attempt?.abandon("shutting down")
        giveUp(AnswerReason.SHUTTING_DOWN)
    }

    /** Called when the caller's connection accepts bytes again. */
    public fun resumeReading() {
        sender?.attempt?.setAutoRead(true)
    }

    private fun admit(configuration: RoutingConfiguration) {
        val route = configuration.route(head.host, head.path) ?: return deny(STATUS_NOT_FOUND, AnswerReason.NO_ROUTE)
        val account = head.apiKey?.let(configuration::account)
        if (configuration.requiresKey && !route.isPublic && account == null) {
            return deny(STATUS_UNAUTHORIZED, AnswerReason.UNKNOWN_KEY)
        }
        if (head.id == null) return deny(STATUS_BAD_REQUEST, AnswerReason.BAD_REQUEST)
        val timeout = minOf(head.timeout ?: route.timeout, route.timeout)
        val service = context.pickService(route)
        val payer = account.takeUnless { route.isPublic }
        val request = AdmittedRequest(
            context = context,
            caller = caller,
            route = route,
            service = service,
            account = payer,
            urgency = context.urgencyOf(payer, route, service),
            arrivedAt = arrivedAt,
            deadline = arrivedAt + timeout,
        )
        context.retryAllowance.countRequest(request.service)
        RequestSender(request, runs, progress, reply, owner = this).also { sender = it }.start()
    }

    private fun refuse(reason: AnswerReason) {
        val proof = checkNotNull(runs.proof()) { "a refused request cannot have been sent" }
        answer(OwnAnswer.NotRun(STATUS_UNAVAILABLE, reason, retryAfter(reason), proof))
    }

    private fun deny(status: Int, reason: AnswerReason) = answer(OwnAnswer.Denied(status, reason))

    /** Ends the request without a final answer of an endpoint. */
    override fun giveUp(reason: AnswerReason) {
        if (isFinished) return
        if (progress.hasBegun) {
            caller.log("broken_off", "reason" to reason, "last_event" to progress.lastEvent)
            reply.abortStream()
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

    /** A delay with a random part, so that callers that are refused together do not retry at the same time. */
    private fun retryAfter(reason: AnswerReason): Duration {
        val delayByLimits = if (reason == AnswerReason.ENDPOINTS_LIMITED) sender?.delayByLimits() else null
        return when {
            reason == AnswerReason.QUARANTINED -> QuarantineRetryDelay
            reason == AnswerReason.CRASH_UNCONFIRMED -> ConfirmationRetryDelay * (1 + context.random.nextDouble())
            delayByLimits != null -> delayByLimits
            else -> ShortestRetryDelay + RetryDelaySpread * context.random.nextDouble()
        }
    }

    override fun finish() {
        isFinished = true
        sender?.close()
        caller.body.release()
        context.openExchanges--
        onFinished()
    }

    private companion object {
        const val STATUS_BAD_REQUEST = 400
        const val STATUS_UNAUTHORIZED = 401
        const val STATUS_NOT_FOUND = 404
        const val STATUS_BAD_GATEWAY = 502
        const val STATUS_UNAVAILABLE = 503
        const val STATUS_GATEWAY_TIMEOUT = 504

        /** Callers retry after [ShortestRetryDelay] and a random part of [RetryDelaySpread]. */
        val ShortestRetryDelay = 200.milliseconds
        val RetryDelaySpread = 600.milliseconds

        /** Time in which an endpoint that has not ended shows that. */
        val ConfirmationRetryDelay = 1_200.milliseconds

        /** Slows the caller down; a request that crashes endpoints does not succeed later either. */
        val QuarantineRetryDelay = 30.seconds
    }
}
