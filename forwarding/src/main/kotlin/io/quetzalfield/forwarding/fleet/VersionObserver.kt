package io.quetzalfield.forwarding.fleet

import io.quetzalfield.decision.RolloutObservations
import io.quetzalfield.forwarding.choice.RolloutStep
import io.quetzalfield.model.ServiceId
import io.quetzalfield.model.VersionId

/** Counts the answers and errors of the versions of each service at this instance. Used on the event loop only. */
public class VersionObserver {
    private class ShareStart(val share: Double, val counts: Map<VersionId, RolloutObservations>)

    private val counts = HashMap<Pair<ServiceId, VersionId>, RolloutObservations>()
    private val shareStarts = HashMap<ServiceId, ShareStart>()

    /** Records that [share] is in effect for [service] from now on, unless it was already. */
    public fun recordShare(service: ServiceId, share: Double) {
        if (shareStarts[service]?.share != share) shareStarts[service] = ShareStart(share, observationsOf(service))
    }

    /** Returns the record to store during the roll-out of [target], of which [step] has been applied. */
    public fun recordOf(service: ServiceId, target: VersionId, step: RolloutStep?): ObservationRecord {
        val all = observationsOf(service)
        val beforeShare = shareStarts[service]?.counts?.get(target) ?: RolloutObservations()
        val atShare = (all[target] ?: RolloutObservations()) - beforeShare
        return ObservationRecord(
            answers = all.mapValues { ObservationRecord.Counts.of(it.value) },
            atShare = ObservationRecord.Counts.of(atShare),
            appliedStep = step?.let { AppliedStep(it.orderRevision, it.number) },
        )
    }

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
