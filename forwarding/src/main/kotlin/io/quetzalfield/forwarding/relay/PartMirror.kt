package io.quetzalfield.forwarding.relay

import io.quetzalfield.store.StoreChange
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.StoredValue

/** A copy of the store's keys under one prefix. Not thread-safe. */
internal class PartMirror {
    private val values = LinkedHashMap<String, StoredValue>()

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

    /** Replaces the copy by [state], but keeps newer values, and returns the changes. */
    fun replace(state: Collection<StoredValue>): List<StoreChange> {
        isComplete = true
        changeCount++
        val present = state.mapTo(HashSet(), StoredValue::key)
        val removed = values.keys.filter { it !in present }.map { StoreChange(it, value = null) }
        removed.forEach { values.remove(it.key) }
        return removed + state.filter(::put).map { StoreChange(it.key, it) }
    }

    /** Applies [change]; returns `false` if the copy already includes it or a later one. */
    fun update(change: StoreChange): Boolean {
        changeCount++
        val value = change.value ?: return values.remove(change.key) != null
        return put(value)
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
        if (isNewer) values[value.key] = value
        return isNewer
    }
}
