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
 * @property sequence place in the runner's own order, from 1.
 * @property isStored `true` when the prefix came into the cache, `false` when it was evicted.
 */
public data class PrefixCacheChange(val sequence: Long, val prefixHash: Long, val isStored: Boolean)

/**
 * How far the memory of runners' caches is trusted.
 *
 * @property capacity prefixes remembered per runner; the one that was stored first is forgotten first.
 * @property lifetime time after which a prefix is forgotten, as its eviction may have been missed.
 * @property lifetimeAfterGap the same time for prefixes that were known when a gap in the changes was found.
 */
public data class PrefixCacheTrust(
    val capacity: Int = 4_096,
    val lifetime: Duration = 10.minutes,
    val lifetimeAfterGap: Duration = 30.seconds,
)

/**
 * Remembers which prompt prefixes each runner is thought to hold, from changes that come late, out of order and with
 * gaps. Being wrong costs a missed or an unused saving, never a wrong answer.
 */
public class PrefixCacheTracker(
    private val trust: PrefixCacheTrust = PrefixCacheTrust(),
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private class Known(val sequence: Long, val isStored: Boolean, var expires: ComparableTimeMark)

    private class Runner {
        val prefixes = LinkedHashMap<Long, Known>()
        var lastSequence = 0L
        var snapshot: Set<Long> = emptySet()
    }

    private val runners = java.util.concurrent.ConcurrentHashMap<RunnerId, Runner>()

    /** The highest sequence number that was seen of [runner]; 0 for none. */
    public fun lastSequence(runner: RunnerId): Long = runners[runner]?.let { synchronized(it) { it.lastSequence } } ?: 0

    /** The prefixes that [runner] was thought to hold when its changes were last noted. */
    public fun prefixes(runner: RunnerId): Set<Long> =
        runners[runner]?.let { synchronized(it) { it.snapshot } }.orEmpty()

    /** Notes [changes] of [runner], in any order; an empty list lets prefixes expire. */
    public fun note(runner: RunnerId, changes: List<PrefixCacheChange>) {
        val state = runners.computeIfAbsent(runner) { Runner() }
        synchronized(state) {
            changes.sortedBy(PrefixCacheChange::sequence).forEach { note(state, it) }
            state.prefixes.values.removeIf { it.expires.hasPassedNow() }
            state.snapshot = state.prefixes.filterValues(Known::isStored).keys.toSet()
        }
    }

    /** Forgets [runner], which has restarted or gone. */
    public fun forget(runner: RunnerId) {
        runners.remove(runner)
    }

    private fun note(state: Runner, change: PrefixCacheChange) {
        if (change.sequence > state.lastSequence + 1) shortenTrust(state)
        state.lastSequence = maxOf(state.lastSequence, change.sequence)
        val known = state.prefixes[change.prefixHash]
        if (known != null && known.sequence >= change.sequence) return
        state.prefixes.remove(change.prefixHash)
        state.prefixes[change.prefixHash] =
            Known(change.sequence, change.isStored, timeSource.markNow() + trust.lifetime)
        if (state.prefixes.size > trust.capacity) state.prefixes.remove(state.prefixes.keys.first())
    }

    private fun shortenTrust(state: Runner) {
        val latest = timeSource.markNow() + trust.lifetimeAfterGap
        state.prefixes.values.forEach { it.expires = minOf(it.expires, latest) }
    }
}
