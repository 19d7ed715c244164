package io.quetzalfield.replay

import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.OperatorLists
import io.quetzalfield.model.RunnerId
import io.quetzalfield.model.SessionId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The version of the trace format that this program reads and writes. */
public const val TRACE_FORMAT_VERSION: Int = 1

/** A recorded or generated load with everything that happens to the fleet meanwhile; [events] are in order of time. */
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
 * @property deployment which deployment the trace is of; its weights apply.
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

/** The deployments whose weights a trace may name. */
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
 * @property slots how many requests it batches at a time.
 * @property promptTokensPerSecond rate at which it reads prompt tokens that its prefix cache does not hold.
 * @property prefixCapacity how many prompt prefixes its cache holds.
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

/** Something that happens at a time, counted in milliseconds from the start of the trace. */
@Serializable
public sealed interface TraceEvent : TraceLine {
    public val timeMilliseconds: Long
}

/**
 * A request.
 *
 * @property session the session it belongs to; `null` for a request on its own. The first request opens the session.
 * @property prefix hash of the prompt's prefix, by which prefix caches recognise it.
 * @property outcomes what each version would answer.
 * @property ratingDelayMilliseconds how long after the answer its rating comes; `null` when it never comes.
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

/** A runner is lost with everything that it runs, and comes back empty at [untilMilliseconds]. */
@Serializable
@SerialName("runner-lost")
public data class TraceRunnerLoss(
    override val timeMilliseconds: Long,
    val runner: RunnerId,
    val untilMilliseconds: Long,
) : TraceEvent

/** A version answers badly until [untilMilliseconds]. The outcomes of the requests show it; this line says so. */
@Serializable
@SerialName("bad-version")
public data class TraceBadVersion(
    override val timeMilliseconds: Long,
    val version: ModelVersionReference,
    val untilMilliseconds: Long,
) : TraceEvent
