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
 * How a steward stands to one duty.
 *
 * @property isHeld whether this steward may act on the duty now.
 * @property fencingNumber number that orders under the duty carry; `null` when it is not held.
 */
@Serializable
public data class DutyStatus(val isHeld: Boolean, val fencingNumber: Long?)

/** The section that shows the duties behind [leases]. */
internal fun dutiesSection(leases: Collection<DutyLease>): StatusSection =
    statusSection("duties", MapSerializer(String.serializer(), DutyStatus.serializer())) {
        leases.associate { lease -> lease.name to DutyStatus(lease.held != null, lease.held?.fencingNumber) }
    }

/** Adds a gauge that says which of [leases] this steward holds to [registry]. */
internal fun registerDuties(leases: Collection<DutyLease>, registry: PrometheusRegistry) {
    GaugeWithCallback.builder()
        .name("quetzalfield_duty_held")
        .help("1 while this steward holds the duty, else 0")
        .labelNames("duty")
        .callback { gauge -> leases.forEach { gauge.call(if (it.held != null) 1.0 else 0.0, it.name) } }
        .register(registry)
}
