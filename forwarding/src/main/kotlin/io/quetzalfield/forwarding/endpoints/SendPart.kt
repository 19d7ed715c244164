package io.quetzalfield.forwarding.endpoints

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * One instance's requests to one endpoint, and the part of the endpoint's limit that it may use: a token bucket, which
 * starts empty, and a window over the requests sent, also over those sent before the limit was named. Used on the event
 * loop only.
 */
public class SendPart {
    private val sends = ArrayDeque<ComparableTimeMark>()
    private var permits = 0.0
    private var filledAt: ComparableTimeMark? = null

    /** Records a request written to the endpoint at [now]. */
    public fun recordSend(now: ComparableTimeMark) {
        sends.addLast(now)
        removeOld(now)
        permits = (permits - 1).coerceAtLeast(0.0)
    }

    /** Empties the bucket at [now], as a limit begins. */
    public fun empty(now: ComparableTimeMark) {
        permits = 0.0
        filledAt = now
    }

    /** Whether a request may be sent at [now], with a part of [perSecond] requests per second. */
    public fun allows(now: ComparableTimeMark, perSecond: Double): Boolean =
        timeUntilAllowed(now, perSecond) == Duration.ZERO

    /** Time from [now] until the next request may be sent, with a part of [perSecond] requests per second. */
    public fun timeUntilAllowed(now: ComparableTimeMark, perSecond: Double): Duration {
        fill(now, perSecond)
        if (perSecond <= 0) return Duration.INFINITE
        val untilPermit = ((1 - permits).coerceAtLeast(0.0) / perSecond).seconds
        return maxOf(untilPermit, timeUntilWindowAllows(now, perSecond))
    }

    private fun timeUntilWindowAllows(now: ComparableTimeMark, perSecond: Double): Duration {
        removeOld(now)
        val allowed = (perSecond * Window.toDouble(DurationUnit.SECONDS) + burst(perSecond)).toInt().coerceAtLeast(1)
        val excess = sends.size + 1 - allowed
        return if (excess <= 0) Duration.ZERO else Window - (now - sends[excess - 1])
    }

    private fun fill(now: ComparableTimeMark, perSecond: Double) {
        val elapsed = filledAt?.let { now - it } ?: Duration.ZERO
        filledAt = now
        permits = (permits + perSecond * elapsed.toDouble(DurationUnit.SECONDS)).coerceAtMost(burst(perSecond))
    }

    /** The most requests that may follow one another at once. */
    private fun burst(perSecond: Double): Double =
        if (perSecond <= 0) 0.0 else maxOf(1.0, perSecond * BurstTime.toDouble(DurationUnit.SECONDS))

    private fun removeOld(now: ComparableTimeMark) {
        while (sends.firstOrNull()?.let { now - it >= Window } == true) sends.removeFirst()
    }

    private companion object {
        /** Time over which the requests sent are counted; covers a burst that was sent before a limit was named. */
        val Window = 4.seconds

        /** Time whose requests may be sent at once when the part is large, as callers' requests come unevenly. */
        val BurstTime = 500.milliseconds
    }
}
