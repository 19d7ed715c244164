package io.quetzalfield.replay

import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.OperatorLists
import io.quetzalfield.model.RunnerId
import io.quetzalfield.model.SessionId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The version of the trace format that is read and written. */
public const val TRACE_FORMAT_VERSION: Int = 1

/** A recorded or generated load with the events of the fleet during it; [events] are in order of time. */
public data class Trace(val header: TraceHeader, val events: List<TraceEvent>) {
    /** The requests, in order of time. */
    public val requests: List<TraceRequest> get() = events.filterIsInstance<TraceRequest>()
}

/** One line of a trace. */
@Serializable
public sealed interface TraceLine

/**
 * The first line of a trace.
 *
 * @property deployment the deployment whose decision weights apply.
 * @property lists the lists in force at the start.
 */
@Serializable
@SerialName("header")
public data class TraceHeader(
    val formatVersion: Int,
    val deployment: DeploymentName,
    val lists: OperatorLists,
    val runners: List<TraceRunner>,
    val millisecondsPerToken: Map<ModelVersionReference, Double>,
) : TraceLine

/** The deployments that a trace can be of. */
@Serializable
public enum class DeploymentName {
    @SerialName("kalkkila")
    KALKKILA,

    @SerialName("association")
    ASSOCIATION,
}

/**
 * A runner of the fleet.
 *
 * @property slots number of requests that it runs at a time.
 * @property promptTokensPerSecond rate at which it processes prompt tokens that are not in its prefix cache.
 * @property prefixCapacity number of prompt prefixes that fit into its cache.
 */
@Serializable
public data class TraceRunner(
    val id: RunnerId,
    val failureDomain: FailureDomainId,
    val slots: Int,
    val promptTokensPerSecond: Double,
    val prefixCapacity: Int,
    val versions: List<ModelVersionReference>,
)

/** An event at a time in milliseconds from the start of the trace. */
@Serializable
public sealed interface TraceEvent : TraceLine {
    public val timeMilliseconds: Long
}

/**
 * A request.
 *
 * @property session the session it belongs to; `null` for a request without one. The first request opens the session.
 * @property prefix hash of the prompt's prefix, the key of prefix caches.
 * @property outcomes quality of the answer by each version.
 * @property ratingDelayMilliseconds time from the answer to its rating; `null` when the answer is never rated.
 */
@Serializable
@SerialName("request")
public data class TraceRequest(
    override val timeMilliseconds: Long,
    val account: ClientAccountId,
    val session: SessionId? = null,
    val kind: String,
    val prefix: Long,
    val promptTokens: Int,
    val answerTokens: Int,
    val outcomes: Map<ModelVersionReference, AnswerOutcome>,
    val ratingDelayMilliseconds: Long? = null,
) : TraceEvent

/**
 * The true quality of one version's answer.
 *
 * @property passes whether the answer is good enough.
 * @property score the acceptance score that the engine reports, from 0 to 1.
 */
@Serializable
public data class AnswerOutcome(val passes: Boolean, val score: Double)

/** A runner samples its load and its cached prefixes; the report arrives [delayMilliseconds] later. */
@Serializable
@SerialName("runner-report")
public data class TraceRunnerReport(
    override val timeMilliseconds: Long,
    val runner: RunnerId,
    val delayMilliseconds: Long,
) : TraceEvent

/** New lists come into force. */
@Serializable
@SerialName("lists")
public data class TraceListsChange(override val timeMilliseconds: Long, val lists: OperatorLists) : TraceEvent

/** A runner fails and loses its requests and its cache; it recovers empty at [untilMilliseconds]. */
@Serializable
@SerialName("runner-lost")
public data class TraceRunnerLoss(
    override val timeMilliseconds: Long,
    val runner: RunnerId,
    val untilMilliseconds: Long,
) : TraceEvent

/** A version answers badly until [untilMilliseconds]; the outcomes of the requests already include the effect. */
@Serializable
@SerialName("bad-version")
public data class TraceBadVersion(
    override val timeMilliseconds: Long,
    val version: ModelVersionReference,
    val untilMilliseconds: Long,
) : TraceEvent
