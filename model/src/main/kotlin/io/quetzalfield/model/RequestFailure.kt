package io.quetzalfield.model

import kotlin.time.Duration

/**
 * Why a request has no complete answer. The two subtypes separate requests that a caller may safely repeat from those
 * that it may not: [NotRun] is created only before the first byte of an attempt is sent to a runner or service, or when
 * the runner or service itself reports that it refused the attempt.
 */
public sealed interface RequestFailure {
    /** Stable code, used in error bodies and as a metric label. */
    public val reason: String

    /** A sentence for the caller. */
    public val message: String
}

/**
 * The request has not run and will not run.
 *
 * @property retryAfter delay after which the caller may retry; `null` if none is suggested.
 */
public data class NotRun(val refusal: RefusalReason, override val message: String, val retryAfter: Duration? = null) :
    RequestFailure {
    override val reason: String get() = refusal.code
}

/** The request may have run, completely or in part. */
public data class MayHaveRun(val interruption: InterruptionReason, override val message: String) : RequestFailure {
    override val reason: String get() = interruption.code
}

/** Reasons for which a request is refused before it runs, each with its [code] and HTTP [status]. */
public enum class RefusalReason(public val code: String, public val status: Int) {
    MISSING_API_KEY("missing_api_key", 401),
    UNKNOWN_API_KEY("unknown_api_key", 401),
    MALFORMED_BODY("malformed_body", 400),
    OVERSIZED_BODY("oversized_body", 413),
    UNKNOWN_MODEL("unknown_model", 404),
    UNKNOWN_VERSION("unknown_version", 404),
    UNKNOWN_SERVICE("unknown_service", 404),
    NOT_ALLOWED_BY_PLAN("not_allowed_by_plan", 403),
    INVALID_SESSION("invalid_session", 400),
    INVALID_TICKET("invalid_ticket", 400),
    VERSION_WITHDRAWN("version_withdrawn", 410),
    MISSING_IDEMPOTENCY_KEY("missing_idempotency_key", 400),
    IDEMPOTENCY_KEY_REUSED("idempotency_key_reused", 422),
    ALLOWANCE_SPENT("allowance_spent", 429),
    OVERLOADED("overloaded", 429),
    DEADLINE_CANNOT_BE_MET("deadline_cannot_be_met", 429),
    NO_RUNNER("no_runner", 503),
    RUNNER_REFUSED("runner_refused", 503),
    REQUEST_CRASHES_RUNNERS("request_crashes_runners", 422),
    SUSPECT_RUNS_ELSEWHERE("suspect_runs_elsewhere", 429),
    LISTS_NOT_CURRENT("lists_not_current", 503),
    CLAIM_NOT_POSSIBLE("claim_not_possible", 503),
    SHUTTING_DOWN("shutting_down", 503),
    HOME_UNREACHABLE("home_unreachable", 503),
}

/** Reasons for which a request that was sent has no complete answer, each with its [code] and HTTP [status]. */
public enum class InterruptionReason(public val code: String, public val status: Int) {
    CONNECTION_LOST("connection_lost", 502),
    ANSWER_INCOMPLETE("answer_incomplete", 502),
    RUNNER_CRASHED("runner_crashed", 502),
    DEADLINE_PASSED("deadline_passed", 504),
    OUTCOME_UNKNOWN("outcome_unknown", 409),
    SERVICE_FAILED("service_failed", 502),
}
