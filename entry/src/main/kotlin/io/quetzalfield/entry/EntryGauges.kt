package io.quetzalfield.entry

import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Adds the gauges of running requests and of the lists in force to [registry]. */
internal fun registerEntryGauges(registry: PrometheusRegistry, gate: ShutdownGate, lists: ListsHolder) {
    GaugeWithCallback.builder()
        .name("quetzalfield_requests_running")
        .help("Requests that run now")
        .callback { it.call(gate.runningRequests.toDouble()) }
        .register(registry)
    GaugeWithCallback.builder()
        .name("quetzalfield_lists_revision")
        .help("Revision of the operators' lists that is in force")
        .callback { it.call(lists.revision.value.toDouble()) }
        .register(registry)
}
