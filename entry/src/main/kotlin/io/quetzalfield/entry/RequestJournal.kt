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

/** One step of a request, as it happened. */
public sealed interface RequestEvent {
    /** The request was read and recognised. */
    public data class Received(
        val account: ClientAccountId,
        val plan: PlanId,
        val key: RequestKey,
        val revision: ListsRevision,
        val kind: String,
    ) : RequestEvent

    /** The stages to run were chosen; [considered] says why the other versions were passed over. */
    public data class Decided(
        val stages: List<ModelVersionReference>,
        val considered: List<ConsideredVersion>,
        val isPinned: Boolean,
    ) : RequestEvent

    /** An attempt was sent to a runner. */
    public data class AttemptSent(val attempt: AttemptId, val runner: RunnerId, val version: ModelVersionReference) :
        RequestEvent

    /** An attempt brought no whole answer. */
    public data class AttemptFailed(val attempt: AttemptId, val failure: RequestFailure) : RequestEvent

    /** Another attempt follows, for [reason]. */
    public data class Retried(val reason: RetryReason) : RequestEvent

    /** The answer of [from] was not accepted by its [score], so that [to] answers the request. */
    public data class Escalated(val from: ModelVersionReference, val score: Double?, val to: ModelVersionReference) :
        RequestEvent

    /** The whole answer arrived. */
    public data class Answered(val version: ModelVersionReference, val tokens: Int) : RequestEvent

    /** The answer was billed, or was found to be billed before. */
    public data class Billed(val priceMicros: Long, val isBilled: Boolean) : RequestEvent

    /** The kept answer of an earlier request with the same key was given again; nothing was run or billed. */
    public data class Repeated(val version: ModelVersionReference) : RequestEvent

    /** The request ended without a whole answer. */
    public data class Failed(val failure: RequestFailure) : RequestEvent
}

/** Keeps the steps of requests, so that they can be explained. */
public fun interface RequestJournal {
    /** Notes [event] of [request]; never blocks and never fails. */
    public fun record(request: RequestId, event: RequestEvent)

    public companion object {
        /** Keeps nothing. */
        public val None: RequestJournal = RequestJournal { _, _ -> }
    }
}

/** The event that notes the arrival of this call. */
internal fun CompletionCall.toReceivedEvent(): RequestEvent.Received = RequestEvent.Received(
    account = account.id,
    plan = plan.id,
    key = key,
    revision = snapshot.revision,
    kind = route.kind,
)
