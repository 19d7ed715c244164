package io.quetzalfield.entry

import io.quetzalfield.decision.ExpectedRates
import io.quetzalfield.decision.Rollout
import io.quetzalfield.decision.RolloutObservations
import io.quetzalfield.decision.RolloutTest
import io.quetzalfield.decision.RolloutVerdict
import io.quetzalfield.decision.rolloutsOf
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.VersionState
import org.apache.logging.log4j.LogManager
import java.util.concurrent.ConcurrentHashMap

/** The exchange with other entries about roll-outs. */
internal interface RolloutPeers {
    /** Returns the sums of the observations of other entries, by version. */
    fun observations(): Map<ModelVersionReference, RolloutObservations>

    /** Notifies the other entries that [version] is stopped; returns `true` if all of them have answered. */
    fun notifyStop(version: ModelVersionReference, reason: String, revision: ListsRevision): Boolean
}

/**
 * Stops a version whose roll-out shows it to be worse than its baseline. The stop takes effect at this entry at once,
 * before the lists are changed. It lasts until lists of a later revision withdraw the version or end its roll-out.
 */
internal class RolloutMonitor(
    private val lists: ListsHolder,
    private val observations: ObservationBook,
    private val peers: RolloutPeers,
    private val metrics: EntryMetrics,
    private val test: RolloutTest = RolloutTest(),
) {
    private val stops = ConcurrentHashMap<ModelVersionReference, ListsRevision>()
    private val unreportedStops = mutableMapOf<ModelVersionReference, String>()

    /** Returns the stopped versions whose stop is not yet superseded by [snapshot]. */
    fun stoppedVersions(snapshot: ListsSnapshot): Set<ModelVersionReference> =
        if (stops.isEmpty()) emptySet() else stops.keys.filterTo(mutableSetOf()) { isStopped(it, snapshot) }

    /** Tests every roll-out of the lists in force and stops the harmful ones. */
    fun check() {
        val snapshot = lists.snapshot
        forgetEndedStops(snapshot)
        reportStops()
        val running = rolloutsOf(snapshot).filterNot { stops.containsKey(it.version) }
        if (running.isEmpty()) return
        val stoppedLocally = running.filter { stopIfHarmful(it, snapshot, observations::of) }
        val remaining = running - stoppedLocally.toSet()
        if (remaining.isEmpty()) return
        val peerObservations = peers.observations()
        remaining.forEach { rollout ->
            stopIfHarmful(rollout, snapshot) { observations.of(it) + (peerObservations[it] ?: RolloutObservations()) }
        }
    }

    /** Applies a stop that another entry or a steward has reported. */
    fun applyReportedStop(version: ModelVersionReference, reason: String, revision: ListsRevision) {
        if (stop(version, reason, revision)) metrics.countVersionStop("peer")
    }

    private fun stopIfHarmful(
        rollout: Rollout,
        snapshot: ListsSnapshot,
        sums: (ModelVersionReference) -> RolloutObservations,
    ): Boolean {
        val passRate = snapshot.version(rollout.baseline)?.priorQuality ?: return false
        val verdict = test.evaluate(sums(rollout.version), sums(rollout.baseline), ExpectedRates(passRate))
        if (verdict !is RolloutVerdict.Harmful) return false
        val reason = verdict.cause.name.lowercase()
        if (!stop(rollout.version, reason, snapshot.revision)) return false
        metrics.countVersionStop("own")
        unreportedStops[rollout.version] = reason
        reportStops()
        return true
    }

    /** Reports this entry's stops to the peers. A stop that did not reach all of them is reported again by [check]. */
    private fun reportStops() {
        unreportedStops.entries.removeIf { (version, reason) ->
            stops[version]?.let { peers.notifyStop(version, reason, it) } ?: true
        }
    }

    private fun stop(version: ModelVersionReference, reason: String, revision: ListsRevision): Boolean {
        val isNew = stops.put(version, revision) == null
        if (isNew) logger.warn("version {} is stopped at revision {}: {}", version, revision, reason)
        return isNew
    }

    private fun isStopped(version: ModelVersionReference, snapshot: ListsSnapshot): Boolean {
        val stoppedAt = stops[version] ?: return false
        val listed = snapshot.version(version) ?: return false
        val isRolledOut = listed.state != VersionState.WITHDRAWN && listed.newSessionShare != null
        return snapshot.revision <= stoppedAt || isRolledOut
    }

    private fun forgetEndedStops(snapshot: ListsSnapshot) {
        stops.keys.filterNot { isStopped(it, snapshot) }.forEach { version ->
            stops.remove(version)
            observations.forget(version)
        }
    }

    private companion object {
        val logger = LogManager.getLogger(RolloutMonitor::class.java)
    }
}
