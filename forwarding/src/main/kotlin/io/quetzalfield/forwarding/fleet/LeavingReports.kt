package io.quetzalfield.forwarding.fleet

import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.endpoints.EndpointDirectory
import io.quetzalfield.forwarding.endpoints.EndpointId
import kotlinx.serialization.Serializable

/**
 * An endpoint that has stated in an answer that it will end.
 *
 * @property start Unix milliseconds of the start of the endpoint that stated it.
 */
@Serializable
internal data class LeavingReport(val endpoint: String, val start: Long)

/** The endpoints that have told this instance that they will end, until their entries disappear. */
internal class LeavingReports(private val endpoints: EndpointDirectory) {
    private val told = LinkedHashSet<LeavingReport>()

    /** The reports to repeat, as a message may be lost. */
    val current: List<LeavingReport>
        get() {
            told.removeIf { find(it)?.takeIf { endpoint -> endpoint.vanishedAt == null } == null }
            return told.toList()
        }

    /** Adds [endpoint] and returns its report. */
    fun add(endpoint: Endpoint): LeavingReport =
        LeavingReport(endpoint.id.value, endpoint.description.start).also(told::add)

    /** Returns the endpoint of [report]; `null` if that start of it is not known. */
    fun find(report: LeavingReport): Endpoint? =
        endpoints.find(EndpointId(report.endpoint))?.takeIf { it.description.start == report.start }
}
