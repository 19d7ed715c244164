package io.quetzalfield.forwarding.choice

import io.quetzalfield.model.ServiceId
import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Tells refused callers when to retry while all endpoints of a service are limited.
 *
 * Load pattern: far more requests arrive than the endpoints accept. Callers that are all told the same delay return
 * together and are refused together. Each therefore gets a time of its own, as far from the one before as the limits
 * allow requests; every instance assigns its part of the times, as callers return to any instance.
 */
public class ReturnSchedule(
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val random: Random = Random.Default,
) {
    private val lastReturns = HashMap<ServiceId, ComparableTimeMark>()

    /**
     * Returns the delay after which a caller of [service] should retry.
     *
     * @param perSecond requests per second that the endpoints accept from the callers of this instance.
     * @param remaining time until the caller's deadline; a later time is not kept free for it.
     */
    public fun delay(service: ServiceId, perSecond: Double, remaining: Duration): Duration {
        val now = timeSource.markNow()
        val interval = if (perSecond > 0) (1 / perSecond).seconds.coerceAtMost(LongestDelay) else LongestDelay
        val last = lastReturns[service]?.takeIf { it > now } ?: now
        val next = maxOf(last + interval * (FIXED_SHARE + (1 - FIXED_SHARE) * random.nextDouble()), now + ShortestDelay)
        if (next - now <= remaining) lastReturns[service] = next
        return (next - now).coerceAtMost(LongestDelay)
    }

    private companion object {
        /** Part of the interval that is the same for all; the rest is random, as instances assign independently. */
        const val FIXED_SHARE = 0.5
        val ShortestDelay = 200.milliseconds

        /** Longer than most callers wait for an answer. */
        val LongestDelay = 30.seconds
    }
}
