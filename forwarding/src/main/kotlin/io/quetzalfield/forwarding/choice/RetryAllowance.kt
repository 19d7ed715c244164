package io.quetzalfield.forwarding.choice

import io.quetzalfield.model.ServiceId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/**
 * Limits on repeated sends over all instances together.
 *
 * @property ratio repeated sends per request for a service.
 * @property slack further repeated sends per window, whatever the number of requests.
 * @property window length of the sliding window.
 */
public data class RetryBounds(val ratio: Double, val slack: Double, val window: Duration)

/**
 * The repeated sends of one instance to a service in the current window.
 *
 * @property spent sends that were made.
 * @property allowed sends that may be made.
 * @property requests callers' requests from which [allowed] was computed.
 * @property instances number of instances that share the slack.
 */
public data class RetryBalance(val spent: Int, val allowed: Double, val requests: Int, val instances: Int)

/**
 * Limits repeated sends to a service, so that they do not add to the load of a failing service.
 *
 * All instances share one limit. Each may spend in proportion to its own requests, and an equal part of the slack; it
 * leaves a margin for sends that another instance cannot see.
 *
 * @param memberCount number of instances that may have spent their part of the slack within the window.
 */
public class RetryAllowance(
    private val bounds: RetryBounds,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val memberCount: () -> Int,
) {
    private class Window {
        val requests = ArrayDeque<ComparableTimeMark>()
        val repeats = ArrayDeque<ComparableTimeMark>()
    }

    private val windows = HashMap<ServiceId, Window>()

    /** Time from which this instance may spend its whole part of the slack; `null` for from the beginning. */
    private var fullSlackFrom: ComparableTimeMark? = null

    /**
     * Reduces the slack for one window: an earlier process of this instance may have spent its part, the others may
     * have divided it among themselves while this instance was not listed, and not all of them may be known yet.
     */
    public fun beginWithoutHistory() {
        fullSlackFrom = timeSource.markNow() + bounds.window
    }

    /** Counts a caller's request for [service]. */
    public fun countRequest(service: ServiceId) {
        windowOf(service).requests.addLast(timeSource.markNow())
    }

    /** Estimated rate of callers' requests for [service] at all instances, from those to this one within the window. */
    public fun requestsPerSecond(service: ServiceId): Double {
        val requests = windowOf(service).requests
        val oldest = requests.firstOrNull() ?: return 0.0
        val span = maxOf(oldest.elapsedNow(), ShortestSpan).toDouble(DurationUnit.SECONDS)
        return requests.size * memberCount().coerceAtLeast(1) / span
    }

    /** Spends one repeated send to [service]; `false` when the limit does not allow it. */
    public fun trySpend(service: ServiceId): Boolean {
        val balance = balance(service)
        val isAllowed = balance.spent + 1 <= balance.allowed
        if (isAllowed) windowOf(service).repeats.addLast(timeSource.markNow())
        return isAllowed
    }

    /** What this instance may spend on [service] in the current window, and what it has spent. */
    public fun balance(service: ServiceId): RetryBalance {
        val window = windowOf(service)
        val instances = memberCount().coerceAtLeast(1)
        val share = if (fullSlackFrom?.hasNotPassedNow() == true) SHARE_WITHOUT_HISTORY else SAFE_SHARE
        val slack = bounds.slack * share / instances
        return RetryBalance(
            spent = window.repeats.size,
            allowed = bounds.ratio * SAFE_SHARE * window.requests.size + slack,
            requests = window.requests.size,
            instances = instances,
        )
    }

    /** Takes the last [trySpend] for [service] back, as nothing was sent. */
    public fun giveBack(service: ServiceId) {
        windowOf(service).repeats.removeLastOrNull()
    }

    private fun windowOf(service: ServiceId): Window {
        val window = windows.getOrPut(service, ::Window)
        val now = timeSource.markNow()
        while (window.requests.firstOrNull()?.let { now - it > bounds.window } == true) window.requests.removeFirst()
        while (window.repeats.firstOrNull()?.let { now - it > bounds.window } == true) window.repeats.removeFirst()
        return window
    }

    private companion object {
        /** Part of the limit that is used; the rest covers sends in flight and members that have just left. */
        const val SAFE_SHARE = 0.8

        /** Half of what [SAFE_SHARE] leaves, as an instance may be restarted twice in a window. */
        const val SHARE_WITHOUT_HISTORY = 0.1

        /** Shortest time over which a rate is computed, also right after the first requests. */
        val ShortestSpan = 1.seconds
    }
}
