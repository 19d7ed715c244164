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

/** What other entries have seen and are told of roll-outs. */
internal interface RolloutPeers {
    /** Sums that other entries have seen, by version. */
    fun observations(): Map<ModelVersionReference, RolloutObservations>

    /** Tells the other entries that [version] is stopped; `true` when all of them have answered. */
    fun tellStop(version: ModelVersionReference, reason: String, revision: ListsRevision): Boolean
}

/**
 * Stops a version that is rolled out and found to be worse than the one before, at this entry at once and before the
 * lists say so. A stop lasts until lists of a later revision withdraw the version or end its roll-out.
 */
internal class RolloutMonitor(
    private val lists: ListsHolder,
    private val observations: ObservationBook,
    private val peers: RolloutPeers,
    private val metrics: EntryMetrics,
    private val test: RolloutTest = RolloutTest(),
) {
    private val stops = ConcurrentHashMap<ModelVersionReference, ListsRevision>()
    private val untold = mutableMapOf<ModelVersionReference, String>()

    /** The versions that are stopped ahead of [snapshot]. */
    fun stoppedVersions(snapshot: ListsSnapshot): Set<ModelVersionReference> =
        if (stops.isEmpty()) emptySet() else stops.keys.filterTo(mutableSetOf()) { isStopped(it, snapshot) }

    /** Judges every roll-out of the lists in force, and stops those that are harmful. */
    fun check() {
        val snapshot = lists.snapshot
        forgetEndedStops(snapshot)
        tellStops()
        val running = rolloutsOf(snapshot).filterNot { stops.containsKey(it.version) }
        if (running.isEmpty()) return
        val stoppedByOwn = running.filter { stopIfHarmful(it, snapshot, observations::of) }
        val left = running - stoppedByOwn.toSet()
        if (left.isEmpty()) return
        val others = peers.observations()
        left.forEach { rollout ->
            stopIfHarmful(rollout, snapshot) { observations.of(it) + (others[it] ?: RolloutObservations()) }
        }
    }

    /** Takes over a stop that another entry or a steward reports. */
    fun learnStop(version: ModelVersionReference, reason: String, revision: ListsRevision) {
        if (stop(version, reason, revision)) metrics.countVersionStop("peer")
    }

    private fun stopIfHarmful(
        rollout: Rollout,
        snapshot: ListsSnapshot,
        sums: (ModelVersionReference) -> RolloutObservations,
    ): Boolean {
        val passRate = snapshot.version(rollout.baseline)?.priorQuality ?: return false
        val verdict = test.judge(sums(rollout.version), sums(rollout.baseline), ExpectedRates(passRate))
        if (verdict !is RolloutVerdict.Harmful) return false
        val reason = verdict.cause.name.lowercase()
        if (!stop(rollout.version, reason, snapshot.revision)) return false
        metrics.countVersionStop("own")
        untold[rollout.version] = reason
        tellStops()
        return true
    }

    /** Tells the peers of own stops; one that did not reach all of them is told again by the next check. */
    private fun tellStops() {
        untold.entries.removeIf { (version, reason) ->
            stops[version]?.let { peers.tellStop(version, reason, it) } ?: true
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
