package io.quetzalfield.steward.rollouts

import arrow.core.Either
import io.quetzalfield.decision.ExpectedRates
import io.quetzalfield.decision.Rollout
import io.quetzalfield.decision.RolloutAction
import io.quetzalfield.decision.RolloutObservations
import io.quetzalfield.decision.RolloutPlan
import io.quetzalfield.decision.RolloutTest
import io.quetzalfield.decision.rolloutsOf
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.OperatorLists
import io.quetzalfield.store.DutyLease
import io.quetzalfield.store.KeyValueStore
import io.quetzalfield.store.LISTS_KEY
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.StoredValue
import io.quetzalfield.store.SwapResult
import kotlinx.serialization.SerializationException
import org.apache.logging.log4j.LogManager
import kotlin.time.Clock

/** The entries, as the roll-out duty needs them. */
internal interface RolloutEntries {
    /** Sums that all entries have seen, by version. */
    fun observations(): Map<ModelVersionReference, RolloutObservations>

    /** Tells all entries to stop [version] ahead of the lists. */
    fun stop(version: ModelVersionReference, reason: String, revision: ListsRevision)
}

/**
 * Moves roll-outs on, stops them and rolls them back, while the duty is held.
 *
 * Each run reads the lists and the step's record anew and changes the lists by one compare-and-swap, so that nothing
 * is lost with a steward: the next holder goes on from what is stored, and a lost answer is settled by the next run. A
 * holder that was paused fails the swap when anything has changed meanwhile.
 */
internal class RolloutDuty(
    private val store: KeyValueStore,
    private val entries: RolloutEntries,
    private val duty: DutyLease,
    private val plan: RolloutPlan = RolloutPlan(),
    private val test: RolloutTest = RolloutTest(),
    clock: Clock = Clock.System,
) {
    private class StoredLists(val stored: StoredValue, val lists: OperatorLists)

    private val records = RolloutRecords(store, clock)

    /** Does what is due now; at most one change of the lists. */
    fun run() {
        if (duty.held == null) return
        val current = readLists() ?: return
        val snapshot = ListsSnapshot(current.lists)
        val rollouts = rolloutsOf(snapshot)
        if (rollouts.isEmpty()) return
        val observations = entries.observations()
        for (rollout in rollouts) {
            val action = decide(rollout, snapshot, observations) ?: continue
            if (action != RolloutAction.Stay && act(current, rollout, action)) return
        }
    }

    private fun decide(
        rollout: Rollout,
        snapshot: ListsSnapshot,
        observations: Map<ModelVersionReference, RolloutObservations>,
    ): RolloutAction? {
        val new = observations[rollout.version] ?: RolloutObservations()
        val baseline = observations[rollout.baseline] ?: RolloutObservations()
        val passRate = snapshot.version(rollout.baseline)?.priorQuality ?: return null
        val progress = records.progress(rollout, new) ?: return null
        return plan.next(progress, test.judge(new, baseline, ExpectedRates(passRate)))
    }

    /** Whether the lists were changed. */
    private fun act(current: StoredLists, rollout: Rollout, action: RolloutAction): Boolean {
        val changed = current.lists.after(action, rollout.version) ?: return false
        if (duty.held == null) return false
        if (action is RolloutAction.Stop) {
            entries.stop(rollout.version, action.harm.cause.name.lowercase(), current.lists.revision)
        }
        val json = PlatformJson.encodeToString(OperatorLists.serializer(), changed)
        val result = store.compareAndSwap(LISTS_KEY, current.stored.modified, json)
        val isWritten = result is Either.Right && result.value is SwapResult.Swapped
        if (isWritten) logger.info("roll-out of {}: {} at revision {}", rollout.version, action, changed.revision)
        return isWritten
    }

    private fun readLists(): StoredLists? {
        val stored = store.read(LISTS_KEY).getOrNull() ?: return null
        return try {
            StoredLists(stored, PlatformJson.decodeFromString(OperatorLists.serializer(), stored.value))
        } catch (error: SerializationException) {
            logger.warn("unreadable lists: {}", error.message)
            null
        }
    }

    private companion object {
        val logger = LogManager.getLogger(RolloutDuty::class.java)
    }
}
