package io.quetzalfield.history

import io.quetzalfield.history.HistoryEvent.ListsAccepted
import io.quetzalfield.history.HistoryEvent.RequestEnded
import io.quetzalfield.history.HistoryEvent.RequestSent
import io.quetzalfield.history.HistoryEvent.RunStarted
import io.quetzalfield.model.OperatorLists
import io.quetzalfield.model.RequestId
import io.quetzalfield.model.RequestKey
import kotlinx.serialization.Required
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val DEFAULT_LISTS_BOUND_MILLISECONDS = 5_000L
private const val DEFAULT_LEAVING_BOUND_MILLISECONDS = 3_000L
private const val DEFAULT_EVACUATION_BOUND_MILLISECONDS = 5_000L

/** The name of the format in the header of a recorded history. */
public const val HISTORY_FORMAT: String = "quetzalfield-history"

/** The version of the format that this code reads and writes. */
public const val HISTORY_VERSION: Int = 1

/**
 * The first line of a recorded history.
 *
 * @property listsBoundMilliseconds time within which an accepted change is in force at every entry.
 * @property leavingBoundMilliseconds time after which a leaving endpoint gets no new work.
 * @property evacuationBoundMilliseconds time after which the endpoints of an evacuated failure domain get nothing.
 */
@Serializable
public data class HistoryHeader(
    @Required val format: String = HISTORY_FORMAT,
    @Required val version: Int = HISTORY_VERSION,
    @SerialName("lists_bound_milliseconds") val listsBoundMilliseconds: Long = DEFAULT_LISTS_BOUND_MILLISECONDS,
    @SerialName("leaving_bound_milliseconds") val leavingBoundMilliseconds: Long = DEFAULT_LEAVING_BOUND_MILLISECONDS,
    @SerialName("evacuation_bound_milliseconds")
    val evacuationBoundMilliseconds: Long = DEFAULT_EVACUATION_BOUND_MILLISECONDS,
) {
    internal val listsBound: Duration get() = listsBoundMilliseconds.milliseconds
    internal val leavingBound: Duration get() = leavingBoundMilliseconds.milliseconds
    internal val evacuationBound: Duration get() = evacuationBoundMilliseconds.milliseconds
}

/** The events that callers, endpoints, operators and the platform observed, ordered by time. */
public class History(public val header: HistoryHeader, events: List<HistoryEvent>) {
    /** All events, ordered by time. */
    public val events: List<HistoryEvent> = events.sortedBy(HistoryEvent::at)

    internal val sends: List<RequestSent> = events<RequestSent>()
    internal val runs: List<RunStarted> = events<RunStarted>()
    private val acceptances = events<ListsAccepted>()
    private val sendsByKey = sends.groupBy(RequestSent::key)
    private val runsByKey = runs.groupBy(RunStarted::key)
    private val endsByRequest = events<RequestEnded>().associateBy(RequestEnded::request)

    internal inline fun <reified T : HistoryEvent> events(): List<T> = events.filterIsInstance<T>()

    internal fun sends(key: RequestKey): List<RequestSent> = sendsByKey[key].orEmpty()

    internal fun runs(key: RequestKey): List<RunStarted> = runsByKey[key].orEmpty()

    internal fun end(request: RequestId): RequestEnded? = endsByRequest[request]

    /** The lists that were the newest accepted ones at some time from [from] to [until]. */
    internal fun listsInForce(from: HistoryTime, until: HistoryTime): List<OperatorLists> {
        val atStart = acceptances.lastOrNull { it.at <= from }
        val since = acceptances.filter { it.at > from && it.at <= until }
        return (listOfNotNull(atStart) + since).map(ListsAccepted::lists)
    }
}
