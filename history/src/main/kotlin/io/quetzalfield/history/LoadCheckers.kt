package io.quetzalfield.history

import io.quetzalfield.history.HistoryEvent.EndpointCold
import io.quetzalfield.history.HistoryEvent.EvacuationEnded
import io.quetzalfield.history.HistoryEvent.EvacuationOrdered
import io.quetzalfield.history.HistoryEvent.RequestArrived
import kotlin.time.Duration.Companion.seconds

/**
 * Checks that nothing reaches an endpoint of an evacuated failure domain from the bound after the order until the order
 * is taken back, whichever instance sends it. Only orders that last longer than the bound, and after which a request
 * arrived at any endpoint, count as cases.
 */
public val evacuationChecker: PromiseChecker<EvacuationOrdered> = PromiseChecker(
    promise = Promise.EVACUATED_DOMAIN_IDLE,
    cases = { history ->
        history.events<EvacuationOrdered>().filter { order ->
            val bound = order.at + history.header.evacuationBound
            history.endOf(order) > bound && history.events<RequestArrived>().any { it.at > bound }
        }
    },
    subject = EvacuationOrdered::domain,
    fault = { order ->
        val end = endOf(order)
        events<RequestArrived>()
            .firstOrNull { it.domain == order.domain && it.at > order.at + header.evacuationBound && it.at < end }
            ?.let { "${it.endpoint} got a request of ${it.sender} at ${it.at}; evacuated since ${order.at}" }
    },
)

/**
 * Checks that no cold endpoint gets more requests in any second than it bears, over all instances. A request counts in
 * a second if it was sent and arrived inside it. Only endpoints that got requests while they were cold count as cases.
 */
public val coldEndpointChecker: PromiseChecker<EndpointCold> = PromiseChecker(
    promise = Promise.COLD_ENDPOINT_SPARED,
    cases = { history -> history.events<EndpointCold>().filter { history.arrivalsAt(it).isNotEmpty() } },
    subject = EndpointCold::endpoint,
    fault = { cold ->
        val arrivals = arrivalsAt(cold)
        arrivals.firstNotNullOfOrNull { first ->
            val end = first.sentAt + 1.seconds
            val count = arrivals.count { it.sentAt >= first.sentAt && it.at < end }
            if (count <= cold.requestsPerSecond) return@firstNotNullOfOrNull null
            "got $count requests in the second from ${first.sentAt}; allowed ${cold.requestsPerSecond}"
        }
    },
)

private fun History.endOf(order: EvacuationOrdered): HistoryTime =
    events<EvacuationEnded>().firstOrNull { it.domain == order.domain && it.at >= order.at }?.at
        ?: HistoryTime(Long.MAX_VALUE)

private fun History.arrivalsAt(cold: EndpointCold): List<RequestArrived> = events<RequestArrived>()
    .filter { it.endpoint == cold.endpoint && it.sentAt >= cold.at && it.at < cold.until }
