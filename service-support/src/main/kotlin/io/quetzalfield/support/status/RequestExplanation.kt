package io.quetzalfield.support.status

import io.quetzalfield.model.AttemptId
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.PlanId
import io.quetzalfield.model.RequestId
import io.quetzalfield.model.RequestKey
import io.quetzalfield.model.RunnerId
import kotlinx.serialization.Serializable

/**
 * How one request was processed at one entry.
 *
 * @property revision revision of the lists on which its decisions are based.
 * @property isPinned whether its session had fixed the version.
 * @property stages the versions to run, in order.
 * @property retries the reasons for repeated attempts, in order.
 * @property answer the complete answer; `null` when there is none.
 * @property failure why there is no complete answer; `null` when there is one, or the request is still running.
 * @property steps all recorded steps, in order.
 */
@Serializable
public data class RequestExplanation(
    val request: RequestId,
    val entry: Incarnation,
    val account: ClientAccountId? = null,
    val plan: PlanId? = null,
    val key: RequestKey? = null,
    val kind: String? = null,
    val revision: ListsRevision? = null,
    val isPinned: Boolean = false,
    val stages: List<ModelVersionReference> = emptyList(),
    val candidates: List<ExplainedCandidate> = emptyList(),
    val attempts: List<ExplainedAttempt> = emptyList(),
    val retries: List<String> = emptyList(),
    val answer: ExplainedAnswer? = null,
    val bill: ExplainedBill? = null,
    val failure: ExplainedFailure? = null,
    val steps: List<ExplainedStep> = emptyList(),
)

/**
 * A version that was considered for a request.
 *
 * @property estimatedQuality estimated pass rate, from 0 to 1.
 * @property costPerThousandTokens in the operators' currency.
 * @property passedOverBecause why it was not chosen; `null` for a stage of the route.
 */
@Serializable
public data class ExplainedCandidate(
    val version: ModelVersionReference,
    val estimatedQuality: Double,
    val costPerThousandTokens: Double,
    val passedOverBecause: String? = null,
)

/** One attempt at a runner; [failure] says why it returned no complete answer. */
@Serializable
public data class ExplainedAttempt(
    val attempt: AttemptId,
    val runner: RunnerId,
    val version: ModelVersionReference,
    val failure: ExplainedFailure? = null,
)

/** The answer that the caller received. */
@Serializable
public data class ExplainedAnswer(val version: ModelVersionReference, val tokens: Int)

/**
 * The bill of the request's key.
 *
 * @property priceMicros in millionths of the operators' currency.
 * @property isBilled `false` when the key had already been billed.
 */
@Serializable
public data class ExplainedBill(val priceMicros: Long, val isBilled: Boolean)

/**
 * Why a request or an attempt failed.
 *
 * @property mayHaveRun `false` when it did not run.
 */
@Serializable
public data class ExplainedFailure(val reason: String, val message: String, val mayHaveRun: Boolean)

/** One recorded step; [atMilliseconds] is the time since the first step of the request. */
@Serializable
public data class ExplainedStep(val atMilliseconds: Long, val what: String)

/** One line of `GET /operator/requests`. */
@Serializable
public data class RequestSummary(val request: RequestId, val account: ClientAccountId?, val outcome: String)
