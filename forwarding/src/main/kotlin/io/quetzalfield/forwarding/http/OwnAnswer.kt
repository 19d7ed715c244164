package io.quetzalfield.forwarding.http

import kotlin.time.Duration

/** The reason for which this instance answers a request itself. Each reason has a counter. */
public enum class AnswerReason {
    NO_CONFIGURATION,
    CONFIGURATION_UNCONFIRMED,
    NO_ROUTE,
    UNKNOWN_KEY,
    NO_ENDPOINT,
    ENDPOINTS_EVACUATED,
    ENDPOINTS_FULL,
    ENDPOINTS_LIMITED,
    ATTEMPTS_SPENT,
    RETRY_BUDGET_SPENT,
    ATTEMPT_FAILED,
    TIMED_OUT,
    QUARANTINED,
    CRASH_UNCONFIRMED,
    BAD_REQUEST,
    HEADER_TOO_LARGE,
    BODY_TOO_LARGE,
    SLOW_REQUEST,
    SHUTTING_DOWN,
    INTAKE_FULL,
}

/** Evidence that a request has not run and will not run. Created by [RunRecord] only. */
public class NotRunProof internal constructor()

/** Records whether any endpoint may have run one request. */
public class RunRecord {
    private var unresolved = 0

    /** Whether an endpoint may have run the request. */
    public val mayHaveRun: Boolean get() = unresolved > 0

    /** Records a send to an endpoint, which may run the request from now on. */
    public fun recordSend() {
        unresolved++
    }

    /** Records that an endpoint stated that it did not run the request. */
    public fun recordNotRun() {
        unresolved--
    }

    /** Returns the proof that the request has not run, or `null` if it may have. It must not be sent afterwards. */
    public fun proof(): NotRunProof? = if (mayHaveRun) null else NotRunProof()
}

/** A final answer that this instance generates itself. */
public sealed interface OwnAnswer {
    public val status: Int
    public val reason: AnswerReason

    /** The request has not run and will not run; the caller may retry after [retryAfter]. */
    public data class NotRun(
        override val status: Int,
        override val reason: AnswerReason,
        val retryAfter: Duration?,
        val proof: NotRunProof,
    ) : OwnAnswer

    /** The configuration does not allow the request, or the request is invalid. */
    public data class Denied(override val status: Int, override val reason: AnswerReason) : OwnAnswer

    /** The request failed; it may have run. */
    public data class Failed(override val status: Int, override val reason: AnswerReason) : OwnAnswer
}
