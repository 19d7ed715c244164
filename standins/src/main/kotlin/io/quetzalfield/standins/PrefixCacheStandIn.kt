package io.quetzalfield.standins

import io.quetzalfield.store.engine.EngineCacheEvent

/**
 * The prefix cache of a [RunnerStandIn]: at most [capacity] prefixes, evicted in least recently used order. Events are
 * published [lag] events late, and every [gapPeriod]th event is never published.
 */
internal class PrefixCacheStandIn(
    private val capacity: Int = 64,
    private val lag: Int = 1,
    private val gapPeriod: Long = 10,
) {
    private val lock = Any()
    private val prefixes = LinkedHashSet<Long>()
    private val events = ArrayDeque<EngineCacheEvent>()
    private var sequence = 0L

    /** Marks [prefixHash] as the most recently used prefix, and stores it if it is not cached. */
    fun use(prefixHash: Long): Unit = synchronized(lock) {
        val isNew = !prefixes.remove(prefixHash)
        prefixes += prefixHash
        if (!isNew) return@synchronized
        publish(prefixHash, isStored = true)
        if (prefixes.size > capacity) evictOldest()
    }

    /** The published events with a sequence number above [after]. */
    fun eventsAfter(after: Long): List<EngineCacheEvent> = synchronized(lock) {
        events.dropLast(lag).filter { it.sequence > after && it.sequence % gapPeriod != 0L }
    }

    private fun evictOldest() {
        val oldest = prefixes.first()
        prefixes -= oldest
        publish(oldest, isStored = false)
    }

    private fun publish(prefixHash: Long, isStored: Boolean) {
        events += EngineCacheEvent(++sequence, prefixHash, isStored)
        if (events.size > MAXIMUM_KEPT_EVENTS) events.removeFirst()
    }

    private companion object {
        const val MAXIMUM_KEPT_EVENTS = 1_024
    }
}
