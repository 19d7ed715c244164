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

/** The calls that the roll-out duty makes to the entries. */
internal interface RolloutEntries {
    /** Observations summed over all entries, by version. */
    fun observations(): Map<ModelVersionReference, RolloutObservations>

    /** Makes all entries stop [version] before the lists withdraw it. */
    fun stop(version: ModelVersionReference, reason: String, revision: ListsRevision)
}

/**
 * Advances, stops and rolls back roll-outs while the duty is held.
 *
 * Each run reads the lists and the record of the step again and changes the lists by one compare-and-swap, so that no
 * state is lost with a steward: the next holder continues from the stored state, and the next run resolves a lost
 * response. The swap of a holder that was paused fails if anything has changed in the meantime.
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

    /** Takes the steps that are due; changes the lists at most once. */
    fun run() {
        if (duty.held == null) return
        val current = readLists() ?: return
        val snapshot = ListsSnapshot(current.lists)
        val rollouts = rolloutsOf(snapshot)
        if (rollouts.isEmpty()) return
        val observations = entries.observations()
        for (rollout in rollouts) {
            val action = decide(rollout, snapshot, observations) ?: continue
            if (action != RolloutAction.Stay && apply(current, rollout, action)) return
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
        return plan.next(progress, test.evaluate(new, baseline, ExpectedRates(passRate)))
    }

    /** Applies [action] to the stored lists; returns whether they were changed. */
    private fun apply(current: StoredLists, rollout: Rollout, action: RolloutAction): Boolean {
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
            logger.warn("malformed lists in the store: {}", error.message)
            null
        }
    }

    private companion object {
        val logger = LogManager.getLogger(RolloutDuty::class.java)
    }
}
