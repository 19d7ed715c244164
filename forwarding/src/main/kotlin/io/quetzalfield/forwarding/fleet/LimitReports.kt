package io.quetzalfield.forwarding.fleet

import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.endpoints.EndpointId
import kotlinx.serialization.Serializable
import kotlin.time.ComparableTimeMark

/**
 * The limit of an endpoint, as one instance knows it.
 *
 * @property start Unix milliseconds of the start of the endpoint that named it.
 * @property requestsPerSecond the limit; `null` if it has ended.
 * @property ageMilliseconds time since the answer of the endpoint. Clocks of instances differ, so that a time of day
 * would not tell which of two reports is newer.
 */
@Serializable
internal data class LimitReport(
    val endpoint: String,
    val start: Long,
    val requestsPerSecond: Double? = null,
    val ageMilliseconds: Long,
)

/** Reports what this instance knows of the limits of endpoints. Used on the event loop only. */
internal class LimitReports {
    private val lastReported = HashMap<EndpointId, LimitReport>()

    /** Returns the limits of [endpoints] that have changed since the last call. */
    fun changes(endpoints: Collection<Endpoint>, now: ComparableTimeMark): List<LimitReport> =
        endpoints.mapNotNull { reportOf(it, now) }.filter { report ->
            val before = lastReported.put(EndpointId(report.endpoint), report)
            before?.copy(ageMilliseconds = 0) != report.copy(ageMilliseconds = 0)
        }

    /** Returns all limits of [endpoints], including those that have just ended. */
    fun all(endpoints: Collection<Endpoint>, now: ComparableTimeMark): List<LimitReport> {
        val reports = endpoints.mapNotNull { reportOf(it, now) }
        lastReported.clear()
        reports.forEach { lastReported[EndpointId(it.endpoint)] = it }
        return reports
    }

    private fun reportOf(endpoint: Endpoint, now: ComparableTimeMark): LimitReport? {
        val statedAt = endpoint.limit.newestStatement?.takeIf { endpoint.limit.rateAt(now) != null } ?: return null
        return LimitReport(
            endpoint = endpoint.id.value,
            start = endpoint.description.start,
            requestsPerSecond = endpoint.limit.requestsPerSecond,
            ageMilliseconds = (now - statedAt).inWholeMilliseconds,
        )
    }
}
