package io.quetzalfield.forwarding.fleet

import io.quetzalfield.forwarding.DecisionLog
import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.endpoints.EndpointDirectory
import io.quetzalfield.forwarding.endpoints.EndpointId
import io.quetzalfield.forwarding.endpoints.TrustChange
import kotlinx.serialization.Serializable
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds

/**
 * What an instance has found out about an endpoint that fails calls.
 *
 * @property start Unix milliseconds of the start of the endpoint.
 * @property change ordinal of a [TrustChange]; one that is not known is skipped.
 */
@Serializable
internal data class TrustReport(val endpoint: String, val start: Long, val change: Int, val ageMilliseconds: Long = 0)

/** Collects what the others are to be told of endpoints that fail calls, and takes what they tell. */
internal class TrustReports(private val endpoints: EndpointDirectory) {
    private class Unsent(val endpoint: Endpoint, val change: TrustChange, val at: ComparableTimeMark)

    private val unsent = LinkedHashMap<EndpointId, Unsent>()

    /** Adds [change] at [now]; of several for one endpoint the last one is told. */
    fun add(endpoint: Endpoint, change: TrustChange, now: ComparableTimeMark) {
        DecisionLog.write("endpoint_trust", "endpoint" to endpoint, "change" to change)
        unsent[endpoint.id] = Unsent(endpoint, change, now)
    }

    /** Returns what was added since the last call. */
    fun take(now: ComparableTimeMark): List<TrustReport> = unsent.values.map {
        val description = it.endpoint.description
        TrustReport(description.id.value, description.start, it.change.ordinal, (now - it.at).inWholeMilliseconds)
    }.also { unsent.clear() }

    /** Takes the [report] of another instance. */
    fun learn(report: TrustReport, now: ComparableTimeMark) {
        val change = TrustChange.entries.getOrNull(report.change) ?: return
        val endpoint = endpoints.find(EndpointId(report.endpoint))?.takeIf { it.description.start == report.start }
        endpoint?.trust?.learn(change, now - report.ageMilliseconds.coerceAtLeast(0).milliseconds, now)
    }
}
