package io.quetzalfield.forwarding.fleet

import io.quetzalfield.decision.RolloutObservations
import io.quetzalfield.model.ServiceId
import io.quetzalfield.model.VersionId

/** Counts the answers and errors of the versions of each service at this instance. Used on the event loop only. */
public class VersionObserver {
    private val counts = HashMap<Pair<ServiceId, VersionId>, RolloutObservations>()

    /** Counts a complete answer of [version]. */
    public fun countAnswer(service: ServiceId, version: VersionId) {
        add(service, version, RolloutObservations(answers = 1, timed = 0))
    }

    /** Counts an answer of [version] that was classified by its speed. */
    public fun countSpeed(service: ServiceId, version: VersionId, isSlow: Boolean) {
        add(service, version, RolloutObservations(timed = 1, slow = if (isSlow) 1 else 0))
    }

    /** Counts an attempt that failed at a runner of [version]. */
    public fun countError(service: ServiceId, version: VersionId) {
        add(service, version, RolloutObservations(errors = 1))
    }

    /** Returns the observations of each version of [service]. */
    public fun observationsOf(service: ServiceId): Map<VersionId, RolloutObservations> =
        counts.filterKeys { it.first == service }.mapKeys { it.key.second }

    private fun add(service: ServiceId, version: VersionId, one: RolloutObservations) {
        counts.merge(service to version, one, RolloutObservations::plus)
    }
}
