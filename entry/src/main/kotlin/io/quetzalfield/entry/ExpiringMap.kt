package io.quetzalfield.entry

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * A map in shards, each under its own lock, that drops a value [retention] after it was last set, and the oldest values
 * once there are more than [largestSize].
 */
internal class ExpiringMap<K : Any, V : Any>(
    private val retention: Duration,
    private val largestSize: Int,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    /** The place of one key while its shard is locked. */
    inner class Slot(private val shard: LinkedHashMap<K, Stamped<V>>, private val key: K) {
        /** The value; setting it renews its time, and setting `null` removes it. */
        var value: V?
            get() = shard[key]?.value
            set(newValue) {
                shard.remove(key)
                if (newValue != null) shard[key] = Stamped(newValue, timeSource.markNow())
            }
    }

    class Stamped<V>(val value: V, val since: ComparableTimeMark)

    private val shards = List(SHARD_COUNT) { LinkedHashMap<K, Stamped<V>>() }

    /** Runs [action] on the place of [key]; no other action on that place runs meanwhile. */
    fun <T> access(key: K, action: (Slot) -> T): T {
        val shard = shards[Math.floorMod(key.hashCode(), SHARD_COUNT)]
        return synchronized(shard) {
            dropOld(shard)
            action(Slot(shard, key))
        }
    }

    private fun dropOld(shard: LinkedHashMap<K, Stamped<V>>) {
        val oldestFirst = shard.values.iterator()
        while (oldestFirst.hasNext()) {
            val isOld = oldestFirst.next().since.elapsedNow() > retention
            if (!isOld && shard.size <= largestSize / SHARD_COUNT) return
            oldestFirst.remove()
        }
    }

    private companion object {
        const val SHARD_COUNT = 16
    }
}
