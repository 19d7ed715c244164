package io.quetzalfield.forwarding.fleet

import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.endpoints.EndpointDirectory
import io.quetzalfield.forwarding.endpoints.EndpointId
import io.quetzalfield.forwarding.endpoints.SpeedSample
import io.quetzalfield.model.Incarnation
import kotlinx.serialization.Serializable
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.roundToInt
import kotlin.time.ComparableTimeMark

/**
 * The speed of an endpoint, as one instance or several have learnt it.
 *
 * @property start Unix milliseconds of the start of the endpoint.
 * @property slownessPercent time of its answers in relation to the mean of its service.
 * @property answers number of answers from which that was learnt; older ones count less.
 */
@Serializable
internal data class SpeedReport(val endpoint: String, val start: Long, val slownessPercent: Int, val answers: Int)

/** Exchanges what instances have learnt of the speeds of [endpoints]. Used on the event loop only. */
internal class SpeedReports(private val endpoints: EndpointDirectory) {
    /** Returns what [learnt] gives for the endpoints, without those of which next to nothing is known. */
    fun of(learnt: (Endpoint) -> SpeedSample?): List<SpeedReport> = endpoints.all.mapNotNull { endpoint ->
        val sample = learnt(endpoint)?.takeIf { it.weight >= 1 } ?: return@mapNotNull null
        SpeedReport(
            endpoint = endpoint.id.value,
            start = endpoint.description.start,
            slownessPercent = (exp(sample.logarithm) * PERCENT).roundToInt(),
            answers = sample.weight.roundToInt(),
        )
    }

    /** Takes what [sender] has learnt, unless it is of another start of the endpoint. */
    fun take(sender: Incarnation, report: SpeedReport, now: ComparableTimeMark) {
        val endpoint = endpoints.find(EndpointId(report.endpoint))?.takeIf { it.description.start == report.start }
        if (report.slownessPercent <= 0) return
        val sample = SpeedSample(ln(report.slownessPercent / PERCENT), report.answers.toDouble())
        endpoint?.speed?.update(sender, sample, now)
    }

    private companion object {
        const val PERCENT = 100.0
    }
}
