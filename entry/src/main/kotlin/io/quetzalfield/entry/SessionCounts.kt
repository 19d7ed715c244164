package io.quetzalfield.entry

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.quetzalfield.model.ModelVersionReference
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

/** Counts the sessions opened at this entry, by their model version. */
public class SessionCounts(registry: PrometheusRegistry) {
    private val counts = ConcurrentHashMap<ModelVersionReference, LongAdder>()
    private val opened = Counter.builder()
        .name("quetzalfield_sessions_opened_total")
        .help("Sessions opened, by model version")
        .labelNames("version")
        .register(registry)

    /** Counts a session on [version]. */
    public fun countOpened(version: ModelVersionReference) {
        counts.computeIfAbsent(version) { LongAdder() }.increment()
        opened.labelValues("$version").inc()
    }

    /** Returns the number of sessions opened so far, by version. */
    public fun byVersion(): Map<ModelVersionReference, Long> = counts.mapValues { it.value.sum() }
}
