package io.quetzalfield.standins

import io.quetzalfield.store.engine.EngineCacheEvent

/**
 * The prefix cache of a runner that stands in: a few prefixes, the one used longest ago is evicted first. Its events
 * are published late by [lag] events, and every [gapPeriod]th is never published.
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

    /** Brings [prefixHash] into the cache. */
    fun use(prefixHash: Long): Unit = synchronized(lock) {
        val isNew = !prefixes.remove(prefixHash)
        prefixes += prefixHash
        if (!isNew) return@synchronized
        publish(prefixHash, isStored = true)
        if (prefixes.size > capacity) evictOldest()
    }

    /** The published events after [after]. */
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
        if (events.size > KEPT_EVENTS) events.removeFirst()
    }

    private companion object {
        const val KEPT_EVENTS = 1_024
    }
}
