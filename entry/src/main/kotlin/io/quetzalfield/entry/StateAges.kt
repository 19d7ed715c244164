package io.quetzalfield.entry

import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.quetzalfield.model.RunnerId
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** State owned by another component of which an entry holds a copy. */
public sealed interface CachedState {
    /** The platform's list of instances. */
    public data object Instances : CachedState

    /** The load report of one runner. */
    public data class LoadReport(val runner: RunnerId) : CachedState
}

/** Tracks how long ago each held state was last confirmed by its owner. */
public class StateAges(private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic) {
    private val started = timeSource.markNow()
    private val confirmed = ConcurrentHashMap<CachedState, ComparableTimeMark>()

    /** Records that [state] has just been confirmed. */
    public fun confirm(state: CachedState) {
        confirmed[state] = timeSource.markNow()
    }

    /** Drops the load reports of all runners except those in [live]. */
    public fun retainReportsOf(live: Set<RunnerId>) {
        confirmed.keys.removeIf { it is CachedState.LoadReport && it.runner !in live }
    }

    /** Returns the time since [state] was confirmed, or since the start if it never was. */
    public fun age(state: CachedState): Duration = (confirmed[state] ?: started).elapsedNow()

    /** Returns the ages of all load reports. */
    public fun reportAges(): Map<RunnerId, Duration> =
        confirmed.keys.filterIsInstance<CachedState.LoadReport>().associate { it.runner to age(it) }

    /** Registers the gauges of these ages, and of the age of the lists from [currency], in [registry]. */
    public fun register(registry: PrometheusRegistry, currency: ListsCurrency) {
        GaugeWithCallback.builder()
            .name("quetzalfield_state_age_seconds")
            .help("Time since the held state was last confirmed; for load reports, of the oldest one")
            .labelNames("state")
            .callback { gauge ->
                gauge.call(currency.age.inSeconds, "lists")
                gauge.call(age(CachedState.Instances).inSeconds, "instances")
                gauge.call((reportAges().values.maxOrNull() ?: Duration.ZERO).inSeconds, "load_reports")
            }
            .register(registry)
    }

    private val Duration.inSeconds: Double get() = toDouble(DurationUnit.SECONDS)
}
