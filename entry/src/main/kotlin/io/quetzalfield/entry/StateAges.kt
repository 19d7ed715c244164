package io.quetzalfield.entry

import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.quetzalfield.model.RunnerId
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** State of others that an entry holds a copy of. */
public sealed interface HeldState {
    /** The operators' lists. */
    public data object Lists : HeldState

    /** The platform's list of instances. */
    public data object Instances : HeldState

    /** The load report of one runner. */
    public data class LoadReport(val runner: RunnerId) : HeldState
}

/** How long ago each held state was last confirmed by its owner. */
public class StateAges(private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic) {
    private val started = timeSource.markNow()
    private val confirmed = ConcurrentHashMap<HeldState, ComparableTimeMark>()

    /** Notes that [state] was confirmed now. */
    public fun confirm(state: HeldState) {
        confirmed[state] = timeSource.markNow()
    }

    /** Forgets the load reports of all runners but [live]. */
    public fun keepReportsOf(live: Set<RunnerId>) {
        confirmed.keys.removeIf { it is HeldState.LoadReport && it.runner !in live }
    }

    /** Time since [state] was confirmed, or since the start when it never was. */
    public fun age(state: HeldState): Duration = (confirmed[state] ?: started).elapsedNow()

    /** The ages of all load reports. */
    public fun reportAges(): Map<RunnerId, Duration> =
        confirmed.keys.filterIsInstance<HeldState.LoadReport>().associate { it.runner to age(it) }

    /** Adds the gauges of these ages to [registry]. */
    public fun register(registry: PrometheusRegistry) {
        GaugeWithCallback.builder()
            .name("quetzalfield_state_age_seconds")
            .help("Time since the held state was last confirmed; for load reports, of the oldest one")
            .labelNames("state")
            .callback { gauge ->
                gauge.call(age(HeldState.Lists).inSeconds, "lists")
                gauge.call(age(HeldState.Instances).inSeconds, "instances")
                gauge.call((reportAges().values.maxOrNull() ?: Duration.ZERO).inSeconds, "load_reports")
            }
            .register(registry)
    }

    private val Duration.inSeconds: Double get() = toDouble(DurationUnit.SECONDS)
}
