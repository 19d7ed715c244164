package io.quetzalfield.forwarding.intake

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Metrics of what is held for callers. */
public class IntakeMetrics(registry: PrometheusRegistry) {
    private val held = Gauge.builder().name("quetzalfield_callers_held_bytes")
        .help("Memory that is held for callers").labelNames("kind").register(registry)
    private val connections = Gauge.builder().name("quetzalfield_caller_connections")
        .help("Open connections of callers").register(registry)
    private val pauses = Counter.builder().name("quetzalfield_callers_paused_total")
        .help("Bodies that were not read on until there was memory for them").register(registry)
    private val refusals = Counter.builder().name("quetzalfield_callers_refused_total")
        .help("Callers that were refused or closed for the sake of the others").labelNames("reason").register(registry)

    init {
        IntakeRefusal.entries.forEach { refusals.initLabelValues(it.name.lowercase()) }
    }

    internal fun setHeld(bodyBytes: Long, fieldBytes: Long, connectionCount: Int) {
        held.labelValues("bodies").set(bodyBytes.toDouble())
        held.labelValues("fields").set(fieldBytes.toDouble())
        connections.set(connectionCount.toDouble())
    }

    internal fun countPause() = pauses.inc()

    internal fun countRefusal(reason: IntakeRefusal) = refusals.labelValues(reason.name.lowercase()).inc()
}
