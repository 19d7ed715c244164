package io.quetzalfield.entry

import arrow.core.Either
import arrow.core.left
import io.quetzalfield.model.InterruptionReason
import io.quetzalfield.model.MayHaveRun
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.model.RequestFailure

/**
 * What this entry knows about one operation that runs at most once.
 *
 * @property fingerprint the call that the operation's ticket or key was first used for; `null` before its first use.
 */
internal data class OperationRecord(val state: OperationState, val fingerprint: String? = null)

/** The state of an operation. */
internal sealed interface OperationState {
    /** The operation has not been sent. */
    data object NotSent : OperationState

    /** The operation is being sent or is about to be sent. */
    data object Running : OperationState

    /** The operation was sent and ended with [result]. */
    class Ended(val result: Either<RequestFailure, ServiceAnswer>) : OperationState
}

/** Returns the outcome for a call whose operation has this record; `null` if the operation may be sent now. */
internal fun OperationRecord.knownOutcome(fingerprint: String): Either<RequestFailure, ServiceAnswer>? {
    val known = state
    return when {
        this.fingerprint != null && this.fingerprint != fingerprint ->
            NotRun(RefusalReason.IDEMPOTENCY_KEY_REUSED, "used for another operation; this one has not run").left()

        known is OperationState.Running ->
            MayHaveRun(InterruptionReason.OUTCOME_UNKNOWN, "the operation is running").left()

        known is OperationState.Ended -> known.result

        else -> null
    }
}

/** Returns the state after a send with [result]. An operation that is known not to have run may be sent again. */
internal fun stateAfter(result: Either<RequestFailure, ServiceAnswer>): OperationState =
    if (result.leftOrNull() is NotRun) OperationState.NotSent else OperationState.Ended(result)
