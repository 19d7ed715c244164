package io.quetzalfield.entry

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * A sharded map with a lock per shard. It evicts a value [retention] after it was last set, and the oldest values of a
 * shard that exceeds its part of [largestSize].
 */
internal class ExpiringMap<K : Any, V : Any>(
    private val retention: Duration,
    private val largestSize: Int,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    /** Access to the value of one key while its shard is locked. */
    inner class Slot(private val shard: LinkedHashMap<K, TimestampedValue<V>>, private val key: K) {
        /** The value, or `null` if there is none. Setting it restarts its retention; setting `null` removes it. */
        var value: V?
            get() = shard[key]?.value
            set(newValue) {
                shard.remove(key)
                if (newValue != null) shard[key] = TimestampedValue(newValue, timeSource.markNow())
            }
    }

    class TimestampedValue<V>(val value: V, val setAt: ComparableTimeMark)

    private val shards = List(SHARD_COUNT) { LinkedHashMap<K, TimestampedValue<V>>() }

    /** Runs [action] on the slot of [key], excluding concurrent actions on the same key. */
    fun <T> access(key: K, action: (Slot) -> T): T {
        val shard = shards[Math.floorMod(key.hashCode(), SHARD_COUNT)]
        return synchronized(shard) {
            evict(shard)
            action(Slot(shard, key))
        }
    }

    private fun evict(shard: LinkedHashMap<K, TimestampedValue<V>>) {
        val oldestFirst = shard.values.iterator()
        while (oldestFirst.hasNext()) {
            val isExpired = oldestFirst.next().setAt.elapsedNow() > retention
            if (!isExpired && shard.size <= largestSize / SHARD_COUNT) return
            oldestFirst.remove()
        }
    }

    private companion object {
        const val SHARD_COUNT = 16
    }
}
