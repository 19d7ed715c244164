package io.quetzalfield.forwarding.choice

import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.endpoints.LimitChange
import io.quetzalfield.model.ServiceId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Keeps the limits that endpoints name for all instances together, and those of cold endpoints. Every request passes it
 * twice: when an endpoint is chosen, and when the request is written. Used on the event loop only.
 *
 * Load pattern: a failure domain returns, or a new version starts, and all of its endpoints are empty and cold. Every
 * instance prefers empty endpoints, and the requests of all of them in the same second end a cold one.
 *
 * @param coldRate requests per second that a cold endpoint of a service bears; `null` if cold ones have no limit.
 * @param sharers the instances that divide the limits; the same object until they change.
 */
public class EndpointLimits(
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val division: LimitDivision = HolderDivision(),
    private val coldRate: (ServiceId) -> Double? = { null },
    private val sharers: () -> LimitSharers,
) {
    /** Records that [endpoint] stated a limit of [requestsPerSecond] at [at], or none, and returns the effect. */
    public fun record(endpoint: Endpoint, requestsPerSecond: Double?, at: ComparableTimeMark): LimitChange {
        val change = endpoint.limit.update(requestsPerSecond, at)
        if (change == LimitChange.NAMED) endpoint.sends.empty(timeSource.markNow())
        return change
    }

    /** Whether [endpoint] has a limit, or had one until a moment ago. */
    public fun isLimited(endpoint: Endpoint): Boolean = rateOf(endpoint, timeSource.markNow()) != null

    /** Whether this instance may send a request to [endpoint] now. */
    public fun mayReceive(endpoint: Endpoint): Boolean = timeUntilAllowed(endpoint) == Duration.ZERO

    /** Time until this instance may send a request to [endpoint]; infinite if it has no part of its limit. */
    public fun timeUntilAllowed(endpoint: Endpoint): Duration {
        val now = timeSource.markNow()
        val rate = rateOf(endpoint, now) ?: return Duration.ZERO
        return endpoint.sends.timeUntilAllowed(now, division.partOf(endpoint.id, rate, sharers()))
    }

    /** Records that a request is written to [endpoint]. */
    public fun recordSend(endpoint: Endpoint): Unit = endpoint.sends.recordSend(timeSource.markNow())

    /** Requests per second that all instances may send to [endpoints], divided by the number of instances. */
    public fun ratePerInstance(endpoints: Collection<Endpoint>): Double {
        val now = timeSource.markNow()
        return endpoints.sumOf { rateOf(it, now) ?: 0.0 } / sharers().all.size.coerceAtLeast(1)
    }

    /** Requests per second that all instances together may send to [endpoint] at [now]; `null` without a limit. */
    private fun rateOf(endpoint: Endpoint, now: ComparableTimeMark): Double? {
        val cold = if (endpoint.isColdAt(now)) coldRate(endpoint.description.service) else null
        val named = endpoint.limit.rateAt(now)
        return if (cold == null || named == null) cold ?: named else minOf(cold, named)
    }
}
