package io.quetzalfield.entry

import arrow.core.Either
import arrow.core.left
import io.quetzalfield.model.InterruptionReason
import io.quetzalfield.model.MayHaveRun
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.model.RequestFailure

/**
 * What this entry knows of one operation that runs at most once.
 *
 * @property fingerprint the call that the operation's ticket or key was first used for; `null` before.
 */
internal data class OperationRecord(val state: OperationState, val fingerprint: String? = null)

/** How far an operation has come. */
internal sealed interface OperationState {
    /** It was never sent. */
    data object NotSent : OperationState

    /** It is being sent, or is about to be. */
    data object Running : OperationState

    /** It was sent, and [result] came of it. */
    class Ended(val result: Either<RequestFailure, ServiceAnswer>) : OperationState
}

/** The answer to a call whose operation has this record, unless the operation may be sent now. */
internal fun OperationRecord.answerTo(fingerprint: String): Either<RequestFailure, ServiceAnswer>? {
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

/** The state after a send with [result]: an operation that has certainly not run may be sent again. */
internal fun stateAfter(result: Either<RequestFailure, ServiceAnswer>): OperationState =
    if (result.leftOrNull() is NotRun) OperationState.NotSent else OperationState.Ended(result)
