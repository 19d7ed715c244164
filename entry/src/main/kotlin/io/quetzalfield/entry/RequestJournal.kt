package io.quetzalfield.entry

import io.quetzalfield.decision.ConsideredVersion
import io.quetzalfield.model.AttemptId
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.PlanId
import io.quetzalfield.model.RequestFailure
import io.quetzalfield.model.RequestId
import io.quetzalfield.model.RequestKey
import io.quetzalfield.model.RunnerId

/** An event in the processing of a request. */
public sealed interface RequestEvent {
    /** The request was parsed and its caller authenticated. */
    public data class Received(
        val account: ClientAccountId,
        val plan: PlanId,
        val key: RequestKey,
        val revision: ListsRevision,
        val kind: String,
    ) : RequestEvent

    /** The stages to run were chosen; [considered] contains the reasons against the other versions. */
    public data class Decided(
        val stages: List<ModelVersionReference>,
        val considered: List<ConsideredVersion>,
        val isPinned: Boolean,
    ) : RequestEvent

    /** An attempt was sent to a runner. */
    public data class AttemptSent(val attempt: AttemptId, val runner: RunnerId, val version: ModelVersionReference) :
        RequestEvent

    /** An attempt did not return a whole answer. */
    public data class AttemptFailed(val attempt: AttemptId, val failure: RequestFailure) : RequestEvent

    /** Another attempt follows because of [reason]. */
    public data class Retried(val reason: RetryReason) : RequestEvent

    /** The first stage [from] failed, or its answer with [score] was not accepted; [to] answers instead. */
    public data class Escalated(val from: ModelVersionReference, val score: Double?, val to: ModelVersionReference) :
        RequestEvent

    /** The whole answer arrived. */
    public data class Answered(val version: ModelVersionReference, val tokens: Int) : RequestEvent

    /** The answer was billed, or the key had already been billed. */
    public data class Billed(val priceMicros: Long, val isBilled: Boolean) : RequestEvent

    /** The cached answer of an earlier request with the same key was returned; nothing was run or billed. */
    public data class Repeated(val version: ModelVersionReference) : RequestEvent

    /** The request ended without a whole answer. */
    public data class Failed(val failure: RequestFailure) : RequestEvent
}

/** Records the events of requests, from which they are explained. */
public fun interface RequestJournal {
    /** Records [event] of [request]; never blocks and never fails. */
    public fun record(request: RequestId, event: RequestEvent)

    public companion object {
        /** Discards all events. */
        public val None: RequestJournal = RequestJournal { _, _ -> }
    }
}

/** Returns the event that records the arrival of this call. */
internal fun CompletionCall.toReceivedEvent(): RequestEvent.Received = RequestEvent.Received(
    account = account.id,
    plan = plan.id,
    key = key,
    revision = snapshot.revision,
    kind = route.kind,
)
