package io.quetzalfield.forwarding.relay

import io.quetzalfield.store.StoreChange
import io.quetzalfield.store.StoreEra
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.StoredValue
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * A copy of the store's keys under one prefix. Not thread-safe.
 *
 * A restored store may lack keys whose writers are about to write them again. Such keys remain in the copy until
 * [dropUnrestored].
 */
internal class PartMirror(private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic) {
    private class Absence(val era: StoreEra, val since: ComparableTimeMark)

    private val values = LinkedHashMap<String, StoredValue>()

    /** Keys of an earlier era that a listing of a later one lacks. */
    private val absences = HashMap<String, Absence>()

    /** Whether the part has been read completely at least once. */
    var isComplete = false
        private set

    /** Changes with every change of the copy. */
    var changeCount = 0L
        private set

    /** Revision up to which the copy is known to include every change. */
    var reached: StoreRevision = StoreRevision.Absent
        private set

    /** All values in the copy. */
    val state: List<StoredValue> get() = values.values.toList()

    /**
     * Replaces the copy by [state], as listed at [listed], and returns the changes. Keeps newer values, and keys whose
     * last write was in an era before that of [listed].
     */
    fun replace(state: Collection<StoredValue>, listed: StoreRevision = StoreRevision.Absent): List<StoreChange> {
        isComplete = true
        changeCount++
        val present = state.mapTo(HashSet(), StoredValue::key)
        val (lost, deleted) = values.values.filter { it.key !in present }.partition { it.modified.era < listed.era }
        lost.forEach { recordAbsence(it.key, listed.era) }
        val removed = deleted.map { StoreChange(it.key, value = null) }
        removed.forEach { values.remove(it.key) }
        return removed + state.filter(::put).map { StoreChange(it.key, it) }
    }

    private fun recordAbsence(key: String, era: StoreEra) {
        if (absences[key]?.era != era) absences[key] = Absence(era, timeSource.markNow())
    }

    /** Removes the keys that no listing has contained for [allowance] since the store was restored. */
    fun dropUnrestored(allowance: Duration): List<StoreChange> {
        if (absences.isEmpty()) return emptyList()
        val expired = absences.filterValues { it.since.elapsedNow() > allowance }.keys.toList()
        return expired.map { StoreChange(it, value = null) }.filter(::update)
    }

    /** Applies [change]; returns `false` if the copy already includes it or a later one. */
    fun update(change: StoreChange): Boolean {
        changeCount++
        val value = change.value
        if (value != null) return put(value)
        absences.remove(change.key)
        return values.remove(change.key) != null
    }

    /** Records that every change up to [revision] has been applied. */
    fun advanceTo(revision: StoreRevision) {
        reached = maxOf(reached, revision)
    }

    /**
     * Whether this copy lacks a change that [other] includes. A lower [reached] alone does not say so: it advances only
     * when the store answers, and most revisions are those of other keys.
     */
    fun isBehind(other: PartMirror): Boolean {
        if (reached >= other.reached) return false
        val lacksWrite = other.values.values.any { theirs ->
            val own = values[theirs.key]
            if (own == null) theirs.modified > reached else own.modified < theirs.modified
        }
        return lacksWrite || values.values.any { it.key !in other.values && it.modified <= other.reached }
    }

    private fun put(value: StoredValue): Boolean {
        val isNewer = values[value.key].let { it == null || it.modified < value.modified }
        if (isNewer) {
            values[value.key] = value
            absences.remove(value.key)
        }
        return isNewer
    }
}
