package io.quetzalfield.forwarding.relay

import io.quetzalfield.store.StoreChange
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.StoredValue

/** A copy of the store's keys under one prefix. Used by one thread. */
internal class PartMirror {
    private val values = LinkedHashMap<String, StoredValue>()

    /** Whether the whole part has been read once. */
    var isComplete = false
        private set

    /** Revision up to which the copy is known to hold every change. */
    var reached: StoreRevision = StoreRevision.Absent
        private set

    /** All values of the part. */
    val state: List<StoredValue> get() = values.values.toList()

    /** Takes the whole part; returns what differs from before. */
    fun replace(state: Collection<StoredValue>): List<StoreChange> {
        isComplete = true
        val present = state.mapTo(HashSet(), StoredValue::key)
        val gone = values.keys.filter { it !in present }.map { StoreChange(it, value = null) }
        gone.forEach { values.remove(it.key) }
        return gone + state.filter(::put).map { StoreChange(it.key, it) }
    }

    /** Takes one change; `false` when the copy already holds it, or a later one. */
    fun take(change: StoreChange): Boolean {
        val value = change.value ?: return values.remove(change.key) != null
        return put(value)
    }

    /** Notes that every change up to [revision] has been taken. */
    fun reach(revision: StoreRevision) {
        reached = maxOf(reached, revision)
    }

    private fun put(value: StoredValue): Boolean {
        val isNewer = values[value.key].let { it == null || it.modified < value.modified }
        if (isNewer) values[value.key] = value
        return isNewer
    }
}
