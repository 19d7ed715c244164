package io.quetzalfield.forwarding.crashes

/** A map that keeps the [capacity] entries used last. */
internal class RecentMap<K, V>(private val capacity: Int) :
    LinkedHashMap<K, V>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
    override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>?): Boolean = size > capacity

    private companion object {
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
    }
}

/** Sets the value of [key] to [value] unless it has a larger one. */
internal fun <K, V : Comparable<V>> RecentMap<K, V>.raise(key: K, value: V) {
    val known = this[key]
    if (known == null || known < value) this[key] = value
}
