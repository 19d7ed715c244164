package io.quetzalfield.forwarding.choice

import io.quetzalfield.decision.rendezvousOrder
import io.quetzalfield.forwarding.endpoints.EndpointId
import io.quetzalfield.model.InstanceId
import kotlin.math.ceil

/**
 * The instances that divide the limits of endpoints among themselves.
 *
 * @property own this instance; `null` if it must not use any part, as it is not listed or is leaving.
 */
public class LimitSharers(public val own: InstanceId?, public val all: Set<InstanceId>)

/** Divides the limit that an endpoint has named among the instances. */
public interface LimitDivision {
    /** Requests per second that this instance may send to [endpoint], of [requestsPerSecond] for all [sharers]. */
    public fun partOf(endpoint: EndpointId, requestsPerSecond: Double, sharers: LimitSharers): Double
}

/**
 * Gives the limit of an endpoint in equal parts to its holders: the first instances in the rendezvous order of the
 * endpoint, about as many as it takes requests per second.
 *
 * Load pattern: an endpoint names fewer requests per second than there are instances. Equal parts for all would let
 * every instance save up a request and send it in the same moment. The sum of what all holders may send at once stays
 * within a second or two of the limit, whatever the number of instances, and different endpoints have different
 * holders.
 */
public class HolderDivision : LimitDivision {
    private class Rank(val sharers: LimitSharers, val value: Int)

    private val ranks = HashMap<EndpointId, Rank>()

    override fun partOf(endpoint: EndpointId, requestsPerSecond: Double, sharers: LimitSharers): Double {
        val holders = ceil(requestsPerSecond).toInt().coerceAtLeast(FEWEST_HOLDERS).coerceAtMost(sharers.all.size)
        return if (rankOf(endpoint, sharers) < holders) requestsPerSecond / holders else 0.0
    }

    /** The position of this instance among the holders of [endpoint], from 0. */
    private fun rankOf(endpoint: EndpointId, sharers: LimitSharers): Int {
        val known = ranks[endpoint]
        if (known != null && known.sharers === sharers) return known.value
        val position = sharers.own?.let { rendezvousOrder(endpoint.value, sharers.all, InstanceId::value).indexOf(it) }
        val rank = Rank(sharers, position?.takeIf { it >= 0 } ?: Int.MAX_VALUE)
        if (ranks.size >= MAXIMUM_RANKS) ranks.clear()
        ranks[endpoint] = rank
        return rank.value
    }

    private companion object {
        /** The end of one holder leaves the endpoint another one. */
        const val FEWEST_HOLDERS = 2

        /** Ranks kept; many times the endpoints that have a limit at one time. */
        const val MAXIMUM_RANKS = 4_096
    }
}
