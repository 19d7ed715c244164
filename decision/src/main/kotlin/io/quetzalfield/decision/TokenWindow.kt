package io.quetzalfield.decision

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Sums tokens over the last minute in slots of one second. Times are durations since an origin chosen by the owner and
 * must not decrease. Not thread-safe.
 */
internal class TokenWindow {
    private val slots = LongArray(SLOT_COUNT)
    private var currentSecond = 0L

    /** Number of tokens in the last minute. */
    var sum: Long = 0
        private set

    /** Adds [tokens], which may be negative to correct an earlier estimate. */
    fun add(now: Duration, tokens: Long) {
        advance(now)
        val index = slotOf(currentSecond)
        val corrected = tokens.coerceAtLeast(-sum)
        slots[index] += corrected
        sum += corrected
    }

    /** Clears the slots that are older than a minute at [now]. */
    fun advance(now: Duration) {
        val second = now.inWholeSeconds
        val steps = (second - currentSecond).coerceAtMost(SLOT_COUNT.toLong())
        for (step in 1..steps) clear(second - steps + step)
        currentSecond = maxOf(currentSecond, second)
    }

    /** The time until [tokens] have left the window; at most a minute. */
    fun timeUntilFreed(tokens: Long): Duration {
        var freed = 0L
        for (age in SLOT_COUNT - 1 downTo 0) {
            freed += slots[slotOf(currentSecond - age)]
            if (freed >= tokens) return (SLOT_COUNT - age).seconds
        }
        return SLOT_COUNT.seconds
    }

    private fun clear(second: Long) {
        val index = slotOf(second)
        sum -= slots[index]
        slots[index] = 0
    }

    private fun slotOf(second: Long): Int = second.mod(SLOT_COUNT)

    private companion object {
        const val SLOT_COUNT = 60
    }
}
