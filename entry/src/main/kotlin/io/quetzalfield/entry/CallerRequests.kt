package io.quetzalfield.entry

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import com.google.protobuf.ByteString
import io.quetzalfield.decision.HomeScope
import io.quetzalfield.model.InterruptionReason
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.model.MayHaveRun
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.model.RequestFailure
import io.quetzalfield.model.RequestKey
import io.quetzalfield.model.ServiceId
import io.quetzalfield.peer.wire.ForwardRequest
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A call of a plain service as received, not yet checked.
 *
 * @property key the caller's idempotency key.
 * @property ticket a ticket minted by an entry.
 */
internal class RawServiceRequest(
    val service: String,
    val operation: String,
    val body: ByteArray,
    val contentType: String,
    val key: String?,
    val ticket: String?,
)

/**
 * Runs the requests of authenticated callers, or forwards those that belong to another entry: requests with a key of
 * the caller to the home of the key, and operations with a ticket to the entry that minted it. A forwarded request is
 * not forwarded again.
 */
internal class CallerRequests(
    private val reader: CompletionReader,
    private val completions: KeyedCompletions,
    private val services: ServiceCallService,
    private val ticketTokens: SignedTokens<Ticket>,
    private val forwarder: Forwarder,
    private val metrics: EntryMetrics,
) {
    /** Runs or forwards a completion request and writes the answer or the failure to [channel]. */
    fun complete(caller: Caller, raw: RawCompletionRequest, channel: AnswerChannel, isForwarded: Boolean = false) {
        when (val call = reader.read(raw, caller)) {
            is Either.Left -> refuse(call.value, channel)
            is Either.Right -> complete(call.value, raw, channel, isForwarded)
        }
    }

    private fun complete(
        call: CompletionCall,
        raw: RawCompletionRequest,
        channel: AnswerChannel,
        isForwarded: Boolean,
    ) {
        val home = if (isForwarded || !call.isKeyedByCaller) null else forwarder.otherHome(call.homeScope)
        val outcome = home?.let { forward(it, call, raw, channel) } ?: ForwardOutcome.NOT_SENT
        if (outcome == ForwardOutcome.SERVED || outcome == ForwardOutcome.CUT) return
        val writer = CompletionWriter(channel, call.body.stream, call.id.value)
        completions.complete(call, raw.body, writer)
            .mapLeft { failure -> failure.afterForward(outcome) }
            .fold(writer::fail, writer::finish)
    }

    /**
     * Returns the failure in the form in which it may be reported to the caller: a request that may be running at its
     * home is not reported as not run.
     */
    private fun RequestFailure.afterForward(outcome: ForwardOutcome): RequestFailure {
        if (this !is NotRun || outcome != ForwardOutcome.UNKNOWN) return this
        val message = "the entry that keeps the key gave no answer; then: $message"
        return MayHaveRun(InterruptionReason.CONNECTION_LOST, message)
    }

    /**
     * Forwards the call. After [ForwardOutcome.NOT_SENT] and [ForwardOutcome.UNKNOWN] this entry runs the request
     * itself, as a completion may be repeated.
     */
    private fun forward(
        home: ListedInstance,
        call: CompletionCall,
        raw: RawCompletionRequest,
        channel: AnswerChannel,
    ): ForwardOutcome {
        val request = ForwardRequest.newBuilder()
            .setClientAccount(call.account.id.value)
            .setRequestKey(call.key.value)
            .setCallerKey(true)
            .setKind(raw.kind.orEmpty())
            .setSessionToken(raw.sessionToken.orEmpty())
            .setBody(ByteString.copyFromUtf8(raw.body))
            .build()
        val timeout = call.plan.deadlineMilliseconds.milliseconds
        val outcome = forwarder.forward(home, request, timeout, channel)
        if (outcome == ForwardOutcome.CUT) reportCut(home, call, channel)
        return outcome
    }

    private fun reportCut(home: ListedInstance, call: CompletionCall, channel: AnswerChannel) {
        val failure = MayHaveRun(InterruptionReason.CONNECTION_LOST, "${home.id} broke the answer off")
        metrics.countFailure(failure)
        if (call.body.stream) CompletionWriter(channel, isStreamed = true, call.id.value).fail(failure)
    }

    /** Runs or forwards a call of a plain service and writes the answer or the failure to [channel]. */
    fun callService(caller: Caller, raw: RawServiceRequest, channel: AnswerChannel, isForwarded: Boolean = false) {
        val call = ServiceCall(
            account = caller.account.id,
            service = ServiceId(raw.service),
            operation = raw.operation,
            body = raw.body,
            contentType = raw.contentType,
        )
        val result = checkService(caller, call).flatMap { isRepeatable ->
            if (isRepeatable) {
                services.run(call).map { answer(it, channel) }
            } else {
                runAtMostOnce(caller, call, raw, channel, isForwarded)
            }
        }
        result.onLeft { refuse(it, channel) }
    }

    /** Returns whether the operation may be repeated, or a refusal if the plan does not allow the service. */
    private fun checkService(caller: Caller, call: ServiceCall): Either<NotRun, Boolean> {
        val service = caller.snapshot.service(call.service)
            ?: return NotRun(RefusalReason.UNKNOWN_SERVICE, "no service is named ${call.service}").left()
        if (!caller.snapshot.isServiceAllowed(caller.plan.id, call.service)) {
            return NotRun(RefusalReason.NOT_ALLOWED_BY_PLAN, "the plan does not allow ${call.service}").left()
        }
        return (call.operation !in service.nonIdempotentOperations).right()
    }

    private fun runAtMostOnce(
        caller: Caller,
        call: ServiceCall,
        raw: RawServiceRequest,
        channel: AnswerChannel,
        isForwarded: Boolean,
    ): Either<RequestFailure, Unit> {
        if (raw.ticket != null) return runUnderTicket(caller, call, raw, channel, isForwarded)
        val key = raw.key ?: return NotRun(RefusalReason.MISSING_IDEMPOTENCY_KEY, MISSING_KEY_MESSAGE).left()
        val home = if (isForwarded) null else forwarder.otherHome(HomeScope(key))
        if (home != null) {
            when (forward(home, call, raw, channel)) {
                ForwardOutcome.SERVED -> return Unit.right()
                ForwardOutcome.NOT_SENT -> Unit
                else -> return unknown("${home.id} may have run the operation").left()
            }
        }
        return services.runClaimed(call, RequestKey(key)).map { answer(it, channel) }
    }

    private fun runUnderTicket(
        caller: Caller,
        call: ServiceCall,
        raw: RawServiceRequest,
        channel: AnswerChannel,
        isForwarded: Boolean,
    ): Either<RequestFailure, Unit> = ticketTokens.verify(raw.ticket.orEmpty(), caller.snapshot)
        .mapLeft { NotRun(RefusalReason.INVALID_TICKET, "ticket: ${it.message}") }
        .flatMap { ticket ->
            val minter = if (isForwarded || services.owns(ticket)) null else forwarder.entryOf(ticket.incarnation)
            if (minter != null) {
                val outcome = forward(minter, call, raw, channel)
                if (outcome == ForwardOutcome.SERVED) Unit.right() else unknown("${minter.id} gave no answer").left()
            } else {
                services.runOnce(call, ticket).map { answer(it, channel) }
            }
        }

    private fun forward(
        entry: ListedInstance,
        call: ServiceCall,
        raw: RawServiceRequest,
        channel: AnswerChannel,
    ): ForwardOutcome {
        val request = ForwardRequest.newBuilder()
            .setClientAccount(call.account.value)
            .setService(call.service.value)
            .setOperation(call.operation)
            .setRequestKey(raw.key.orEmpty())
            .setTicket(raw.ticket.orEmpty())
            .setContentType(call.contentType)
            .setBody(ByteString.copyFrom(call.body))
            .build()
        return forwarder.forward(entry, request, FORWARDED_SERVICE_TIMEOUT, channel)
    }

    private fun unknown(message: String): RequestFailure = MayHaveRun(InterruptionReason.OUTCOME_UNKNOWN, message)

    private fun answer(answer: ServiceAnswer, channel: AnswerChannel) {
        channel.start(answer.status, mapOf(CONTENT_TYPE_HEADER to answer.contentType))
        channel.write(answer.body)
    }

    private fun refuse(failure: RequestFailure, channel: AnswerChannel) {
        metrics.countFailure(failure)
        if (!channel.hasStarted) channel.fail(failure, requestId = null)
    }

    private companion object {
        const val MISSING_KEY_MESSAGE = "the operation needs a ticket or an idempotency key"
        val FORWARDED_SERVICE_TIMEOUT = 35.seconds
    }
}
