package io.quetzalfield.forwarding.http

import kotlin.time.Duration

/** Why a request is answered by this instance and not by an endpoint. Each reason has a counter. */
public enum class AnswerReason {
    NO_CONFIGURATION,
    CONFIGURATION_UNCONFIRMED,
    NO_ROUTE,
    UNKNOWN_KEY,
    NO_ENDPOINT,
    ENDPOINTS_FULL,
    ATTEMPTS_SPENT,
    RETRY_BUDGET_SPENT,
    ATTEMPT_FAILED,
    TIMED_OUT,
    QUARANTINED,
    BAD_REQUEST,
    HEADER_TOO_LARGE,
    BODY_TOO_LARGE,
    SLOW_REQUEST,
    SHUTTING_DOWN,
}

/** Evidence that a request has not run and will not run. Only a [RunRecord] makes it. */
public class NotRunProof internal constructor()

/** What is known of the runs of one request. */
public class RunRecord {
    private var unresolved = 0

    /** Whether an endpoint may have run the request. */
    public val mayHaveRun: Boolean get() = unresolved > 0

    /** Notes that the request is being sent to an endpoint: from now on it may have run. */
    public fun sending() {
        unresolved++
    }

    /** Notes that an endpoint stated that it did not run the request. */
    public fun statedNotRun() {
        unresolved--
    }

    /** The proof that the request has not run, if it stands. Nothing may be sent after it was taken. */
    public fun proof(): NotRunProof? = if (mayHaveRun) null else NotRunProof()
}

/** A final answer of this instance's own. */
public sealed interface OwnAnswer {
    public val status: Int
    public val reason: AnswerReason

    /** The request has not run and will not run; the caller may come back after [retryAfter]. */
    public data class NotRun(
        override val status: Int,
        override val reason: AnswerReason,
        val retryAfter: Duration?,
        val proof: NotRunProof,
    ) : OwnAnswer

    /** The configuration does not allow the request, or it is malformed. */
    public data class Denied(override val status: Int, override val reason: AnswerReason) : OwnAnswer

    /** The request failed; it may have run. */
    public data class Failed(override val status: Int, override val reason: AnswerReason) : OwnAnswer
}
