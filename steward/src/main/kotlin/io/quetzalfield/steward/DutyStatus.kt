package io.quetzalfield.steward

import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.quetzalfield.store.DutyLease
import io.quetzalfield.support.status.StatusSection
import io.quetzalfield.support.status.statusSection
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.builtins.serializer

/**
 * The status of one duty at a steward.
 *
 * @property isHeld whether this steward may act on the duty now.
 * @property fencingNumber fencing number of orders under the duty; `null` if it is not held.
 */
@Serializable
public data class DutyStatus(val isHeld: Boolean, val fencingNumber: Long?)

/** The status section with the duties of [leases]. */
internal fun dutiesSection(leases: Collection<DutyLease>): StatusSection =
    statusSection("duties", MapSerializer(String.serializer(), DutyStatus.serializer())) {
        leases.associate { lease -> lease.name to DutyStatus(lease.held != null, lease.held?.fencingNumber) }
    }

/** Registers a gauge in [registry] that shows which of [leases] this steward holds. */
internal fun registerDuties(leases: Collection<DutyLease>, registry: PrometheusRegistry) {
    GaugeWithCallback.builder()
        .name("quetzalfield_duty_held")
        .help("1 while this steward holds the duty, else 0")
        .labelNames("duty")
        .callback { gauge -> leases.forEach { gauge.call(if (it.held != null) 1.0 else 0.0, it.name) } }
        .register(registry)
}
