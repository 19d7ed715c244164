package io.quetzalfield.entry

import io.quetzalfield.model.MayHaveRun
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.RequestFailure
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether a request has run, as stated in an error body. */
@Serializable
public enum class RunStatement {
    /** The request has not run and will not run. */
    @SerialName("no")
    NO,

    /** The request may have run, wholly or in part. */
    @SerialName("unknown")
    UNKNOWN,
}

/**
 * The error format that all errors share.
 *
 * @property code stable name of the reason.
 * @property ran whether the request ran.
 * @property retryAfterSeconds seconds after which a retry may succeed.
 */
@Serializable
public data class ErrorDetail(
    val code: String,
    val message: String,
    val ran: RunStatement,
    @SerialName("request_id") val requestId: String? = null,
    @SerialName("retry_after_seconds") val retryAfterSeconds: Long? = null,
)

/** The body of every answer that reports an error. */
@Serializable
public data class ErrorBody(val error: ErrorDetail)

/** The HTTP status for this failure. */
public val RequestFailure.status: Int
    get() = when (this) {
        is NotRun -> refusal.status
        is MayHaveRun -> interruption.status
    }

/** Returns the error body for this failure. */
public fun RequestFailure.toErrorBody(requestId: String?): ErrorBody = ErrorBody(
    ErrorDetail(
        code = reason,
        message = message,
        ran = if (this is NotRun) RunStatement.NO else RunStatement.UNKNOWN,
        requestId = requestId,
        retryAfterSeconds = (this as? NotRun)?.retryAfter?.inWholeSeconds?.coerceAtLeast(1),
    ),
)
