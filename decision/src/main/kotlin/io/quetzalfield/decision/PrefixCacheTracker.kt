package io.quetzalfield.decision

import io.quetzalfield.model.RunnerId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * One change of a runner's prefix cache.
 *
 * @property sequence sequence number assigned by the runner, from 1.
 * @property prefixHash hash of the prompt prefix.
 * @property isStored `true` if the prefix was added to the cache, `false` if it was evicted.
 */
public data class PrefixCacheChange(val sequence: Long, val prefixHash: Long, val isStored: Boolean)

/**
 * Retention of what is known about the caches of runners.
 *
 * @property capacity maximum number of prefixes tracked per runner; the least recently changed one is removed first.
 * @property lifetime time after which a prefix is removed, because its eviction may have been missed.
 * @property lifetimeAfterGap the same time for prefixes that were known when a gap in the changes was detected.
 */
public data class PrefixCacheRetention(
    val capacity: Int = 4_096,
    val lifetime: Duration = 10.minutes,
    val lifetimeAfterGap: Duration = 30.seconds,
)

/**
 * Tracks which prompt prefixes each runner probably has in its cache, from changes that arrive late, out of order and
 * with gaps. An error costs a cache hit that is missed or expected in vain, never a wrong answer.
 */
public class PrefixCacheTracker(
    private val retention: PrefixCacheRetention = PrefixCacheRetention(),
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private class PrefixState(val sequence: Long, val isStored: Boolean, var expiresAt: ComparableTimeMark)

    private class Runner {
        val prefixes = LinkedHashMap<Long, PrefixState>()
        var lastSequence = 0L
        var snapshot: Set<Long> = emptySet()
    }

    private val runners = java.util.concurrent.ConcurrentHashMap<RunnerId, Runner>()

    /** The highest sequence number received from [runner]; 0 if there is none. */
    public fun lastSequence(runner: RunnerId): Long = runners[runner]?.let { synchronized(it) { it.lastSequence } } ?: 0

    /** The prefixes that [runner] probably had in its cache when its changes were last recorded. */
    public fun prefixes(runner: RunnerId): Set<Long> =
        runners[runner]?.let { synchronized(it) { it.snapshot } }.orEmpty()

    /** Records [changes] of [runner], in any order. An empty list only removes expired prefixes. */
    public fun record(runner: RunnerId, changes: List<PrefixCacheChange>) {
        val state = runners.computeIfAbsent(runner) { Runner() }
        synchronized(state) {
            changes.sortedBy(PrefixCacheChange::sequence).forEach { record(state, it) }
            state.prefixes.values.removeIf { it.expiresAt.hasPassedNow() }
            state.snapshot = state.prefixes.filterValues(PrefixState::isStored).keys.toSet()
        }
    }

    /** Removes all records of [runner], which has restarted or stopped. */
    public fun remove(runner: RunnerId) {
        runners.remove(runner)
    }

    private fun record(state: Runner, change: PrefixCacheChange) {
        if (change.sequence > state.lastSequence + 1) shortenLifetimes(state)
        state.lastSequence = maxOf(state.lastSequence, change.sequence)
        val known = state.prefixes[change.prefixHash]
        if (known != null && known.sequence >= change.sequence) return
        state.prefixes.remove(change.prefixHash)
        state.prefixes[change.prefixHash] =
            PrefixState(change.sequence, change.isStored, timeSource.markNow() + retention.lifetime)
        if (state.prefixes.size > retention.capacity) state.prefixes.remove(state.prefixes.keys.first())
    }

    private fun shortenLifetimes(state: Runner) {
        val latestExpiry = timeSource.markNow() + retention.lifetimeAfterGap
        state.prefixes.values.forEach { it.expiresAt = minOf(it.expiresAt, latestExpiry) }
    }
}
