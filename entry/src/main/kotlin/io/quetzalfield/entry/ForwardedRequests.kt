package io.quetzalfield.entry

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.grpc.Status
import io.grpc.stub.StreamObserver
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.peer.wire.ForwardReply
import io.quetzalfield.peer.wire.ForwardRequest

/** Handles requests that other entries forward to this one. */
internal fun interface ForwardHandler {
    /** Runs [request] and streams the answer to [observer]. */
    fun run(request: ForwardRequest, observer: StreamObserver<ForwardReply>)
}

/** Runs forwarded requests in the same way as requests of this entry's own callers. */
internal class ForwardedRequests(
    private val lists: DecisionLists,
    private val gate: ShutdownGate,
    private val requests: CallerRequests,
) : ForwardHandler {
    override fun run(request: ForwardRequest, observer: StreamObserver<ForwardReply>) {
        val isRun = gate.enter {
            try {
                val channel = PeerAnswerChannel(observer).apply(PeerAnswerChannel::acknowledge)
                runHere(request, channel)
                observer.onCompleted()
            } catch (_: CallerDisconnectedException) {
                observer.onError(Status.CANCELLED.asException())
            }
        }
        if (isRun == null) observer.onError(Status.FAILED_PRECONDITION.withDescription("shutting down").asException())
    }

    private fun runHere(request: ForwardRequest, channel: AnswerChannel) {
        when (val caller = caller(ClientAccountId(request.clientAccount))) {
            is Either.Left -> channel.fail(caller.value, requestId = null)
            is Either.Right -> runFor(caller.value, request, channel)
        }
    }

    private fun runFor(caller: Caller, request: ForwardRequest, channel: AnswerChannel) {
        if (request.service.isEmpty()) {
            requests.complete(caller, request.toRawCompletionRequest(), channel, isForwarded = true)
        } else {
            requests.callService(caller, request.toRawServiceRequest(), channel, isForwarded = true)
        }
    }

    /** Looks up the account, whose API key the sender has checked. The plan is that of the lists in force here. */
    private fun caller(id: ClientAccountId): Either<NotRun, Caller> =
        lists.snapshot().flatMap { snapshot -> caller(id, snapshot) }

    private fun caller(id: ClientAccountId, snapshot: ListsSnapshot): Either<NotRun, Caller> {
        val account = snapshot.account(id)
        val plan = account?.let { snapshot.plan(it.plan) }
            ?: return NotRun(RefusalReason.UNKNOWN_API_KEY, "account $id is not known").left()
        return Caller(snapshot, account, plan).right()
    }
}

private fun ForwardRequest.toRawCompletionRequest(): RawCompletionRequest = RawCompletionRequest(
    body = body.toStringUtf8(),
    key = requestKey.ifEmpty { null },
    kind = kind.ifEmpty { null },
    sessionToken = sessionToken.ifEmpty { null },
)

private fun ForwardRequest.toRawServiceRequest(): RawServiceRequest = RawServiceRequest(
    service = service,
    operation = operation,
    body = body.toByteArray(),
    contentType = contentType,
    key = requestKey.ifEmpty { null },
    ticket = ticket.ifEmpty { null },
)
