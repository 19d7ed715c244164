package io.quetzalfield.history

import io.quetzalfield.model.AttemptId
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.OperatorLists
import io.quetzalfield.model.RequestId
import io.quetzalfield.model.RequestKey
import io.quetzalfield.model.SessionId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** A wall-clock time of the machine that recorded the history, in milliseconds since 1970. */
@Serializable
@JvmInline
public value class HistoryTime(public val milliseconds: Long) : Comparable<HistoryTime> {
    override fun compareTo(other: HistoryTime): Int = milliseconds.compareTo(other.milliseconds)

    public operator fun plus(duration: Duration): HistoryTime = HistoryTime(milliseconds + duration.inWholeMilliseconds)

    public operator fun minus(duration: Duration): HistoryTime = plus(-duration)

    override fun toString(): String = "$milliseconds ms"
}

/** The kind of operation that a request asks for. */
@Serializable
public enum class RequestOperation { COMPLETION, REPEATABLE_OPERATION, NON_IDEMPOTENT_OPERATION }

/** An event observed by a caller, an endpoint, an operator or the platform. */
@Serializable
public sealed interface HistoryEvent {
    /** The time at which the event was observed. */
    public val at: HistoryTime

    /** The platform accepted [lists]. */
    @Serializable
    @SerialName("lists_accepted")
    public data class ListsAccepted(override val at: HistoryTime, val lists: OperatorLists) : HistoryEvent

    /** The lists of [revision] were in force at [entry]. */
    @Serializable
    @SerialName("revision_seen")
    public data class RevisionSeen(override val at: HistoryTime, val entry: Incarnation, val revision: ListsRevision) :
        HistoryEvent

    /** A caller received a session on [version]. */
    @Serializable
    @SerialName("session_opened")
    public data class SessionOpened(
        override val at: HistoryTime,
        val session: SessionId,
        val version: ModelVersionReference,
    ) : HistoryEvent

    /**
     * A caller sent a request.
     *
     * @property request identifies this send; a repetition with the same [key] is another send.
     * @property expectedAnswer the text of a whole answer.
     */
    @Serializable
    @SerialName("request_sent")
    public data class RequestSent(
        override val at: HistoryTime,
        val request: RequestId,
        val account: ClientAccountId,
        val entry: Incarnation,
        val key: RequestKey,
        val operation: RequestOperation = RequestOperation.COMPLETION,
        val session: SessionId? = null,
        val expectedAnswer: String = "",
    ) : HistoryEvent

    /** The caller's [request] ended. */
    @Serializable
    @SerialName("request_ended")
    public data class RequestEnded(override val at: HistoryTime, val request: RequestId, val outcome: CallerOutcome) :
        HistoryEvent

    /**
     * An endpoint began to run a request.
     *
     * @property version the version that runs; `null` at an endpoint that runs no model.
     */
    @Serializable
    @SerialName("run_started")
    public data class RunStarted(
        override val at: HistoryTime,
        val endpoint: InstanceId,
        val attempt: AttemptId,
        val key: RequestKey,
        val version: ModelVersionReference? = null,
    ) : HistoryEvent

    /** [endpoint] or the platform's list announced that the endpoint is leaving. */
    @Serializable
    @SerialName("leaving_announced")
    public data class LeavingAnnounced(override val at: HistoryTime, val endpoint: InstanceId) : HistoryEvent

    /** The platform accepted the operator's order that the endpoints of [domain] get nothing. */
    @Serializable
    @SerialName("evacuation_ordered")
    public data class EvacuationOrdered(override val at: HistoryTime, val domain: FailureDomainId) : HistoryEvent

    /** The operator took back the order to evacuate [domain]. */
    @Serializable
    @SerialName("evacuation_ended")
    public data class EvacuationEnded(override val at: HistoryTime, val domain: FailureDomainId) : HistoryEvent

    /**
     * [endpoint] became cold and stays so until [until].
     *
     * @property requestsPerSecond most requests in one second that the configuration allows a cold endpoint.
     */
    @Serializable
    @SerialName("endpoint_cold")
    public data class EndpointCold(
        override val at: HistoryTime,
        val endpoint: InstanceId,
        val until: HistoryTime,
        val requestsPerSecond: Int,
    ) : HistoryEvent

    /**
     * A request reached [endpoint], whatever it did with it.
     *
     * @property sentAt time at which [sender] wrote it.
     */
    @Serializable
    @SerialName("request_arrived")
    public data class RequestArrived(
        override val at: HistoryTime,
        val endpoint: InstanceId,
        val domain: FailureDomainId,
        val sender: Incarnation,
        val sentAt: HistoryTime = at,
    ) : HistoryEvent

    /** [entry] was requested to shut down gracefully. */
    @Serializable
    @SerialName("shutdown_started")
    public data class ShutdownStarted(override val at: HistoryTime, val entry: Incarnation) : HistoryEvent

    /** The process of [entry] ended after its graceful shutdown. */
    @Serializable
    @SerialName("shutdown_ended")
    public data class ShutdownEnded(override val at: HistoryTime, val entry: Incarnation) : HistoryEvent

    /** The stored bill totals of [account] after all requests have ended. */
    @Serializable
    @SerialName("bills_stored")
    public data class BillsStored(
        override val at: HistoryTime,
        val account: ClientAccountId,
        val answers: Long,
        val priceMicros: Long,
    ) : HistoryEvent

    /**
     * The bill cell of [entry] when the totals were read, so that a wrong total can be traced to an entry.
     *
     * @property state state of the cell, which determines who could still change it.
     * @property answers number of billed answers of each account.
     * @property inAccounts the accounts whose totals included this cell.
     */
    @Serializable
    @SerialName("bill_cell_seen")
    public data class BillCellSeen(
        override val at: HistoryTime,
        val entry: Incarnation,
        val state: String,
        val sequence: Long,
        val answers: Map<ClientAccountId, Long>,
        val inAccounts: Set<ClientAccountId>,
    ) : HistoryEvent
}

/** The end of a request as its caller observed it. */
@Serializable
public sealed interface CallerOutcome {
    /**
     * An answer with its end marker.
     *
     * @property priceMicros price in millionths of the operators' currency.
     */
    @Serializable
    @SerialName("answered")
    public data class Answered(
        val text: String,
        val version: ModelVersionReference? = null,
        val isBilled: Boolean = false,
        val priceMicros: Long = 0,
    ) : CallerOutcome

    /** A refusal that states "not run". */
    @Serializable
    @SerialName("not_run")
    public data class NotRun(val code: String) : CallerOutcome

    /** A failure that states that the request may have run. */
    @Serializable
    @SerialName("may_have_run")
    public data class MayHaveRun(val code: String) : CallerOutcome

    /** The connection ended without an answer or a typed failure. */
    @Serializable
    @SerialName("cut")
    public data class Cut(val message: String = "") : CallerOutcome

    /** No connection could be established. */
    @Serializable
    @SerialName("unreachable")
    public data object Unreachable : CallerOutcome
}
