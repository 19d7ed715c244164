package io.quetzalfield.forwarding.choice

import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.endpoints.LimitChange
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Keeps the limits that endpoints name for all instances together. Every request passes it twice: when an endpoint is
 * chosen, and when the request is written. Used on the event loop only.
 *
 * @param sharers the instances that divide the limits; the same object until they change.
 */
public class EndpointLimits(
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val division: LimitDivision = HolderDivision(),
    private val sharers: () -> LimitSharers,
) {
    /** Records that [endpoint] stated a limit of [requestsPerSecond] at [at], or none, and returns the effect. */
    public fun record(endpoint: Endpoint, requestsPerSecond: Double?, at: ComparableTimeMark): LimitChange {
        val change = endpoint.limit.update(requestsPerSecond, at)
        if (change == LimitChange.NAMED) endpoint.sends.empty(timeSource.markNow())
        return change
    }

    /** Whether [endpoint] has a limit, or had one until a moment ago. */
    public fun isLimited(endpoint: Endpoint): Boolean = endpoint.limit.rateAt(timeSource.markNow()) != null

    /** Whether this instance may send a request to [endpoint] now. */
    public fun mayReceive(endpoint: Endpoint): Boolean = timeUntilAllowed(endpoint) == Duration.ZERO

    /** Time until this instance may send a request to [endpoint]; infinite if it has no part of its limit. */
    public fun timeUntilAllowed(endpoint: Endpoint): Duration {
        val now = timeSource.markNow()
        val rate = endpoint.limit.rateAt(now) ?: return Duration.ZERO
        return endpoint.sends.timeUntilAllowed(now, division.partOf(endpoint.id, rate, sharers()))
    }

    /** Records that a request is written to [endpoint]. */
    public fun recordSend(endpoint: Endpoint): Unit = endpoint.sends.recordSend(timeSource.markNow())

    /** Requests per second that all instances may send to [endpoints], divided by the number of instances. */
    public fun ratePerInstance(endpoints: Collection<Endpoint>): Double {
        val now = timeSource.markNow()
        return endpoints.sumOf { it.limit.rateAt(now) ?: 0.0 } / sharers().all.size.coerceAtLeast(1)
    }
}
