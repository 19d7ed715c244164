package io.quetzalfield.forwarding

import io.quetzalfield.forwarding.configuration.RoutingConfiguration
import io.quetzalfield.forwarding.endpoints.EndpointChange
import io.quetzalfield.forwarding.endpoints.EndpointDescription
import io.quetzalfield.forwarding.endpoints.EndpointId
import io.quetzalfield.forwarding.fleet.RolloutOrder
import io.quetzalfield.forwarding.http.RoutingContext
import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.store.CallTime

/**
 * Applies the platform's updates to the routing state, on the event loop.
 *
 * @param onOrders called with the operator's roll-out orders on the platform's thread.
 */
internal class PlatformFeed(private val context: RoutingContext, private val onOrders: (List<RolloutOrder>) -> Unit) :
    PlatformListener {
    private val eventLoop get() = context.eventLoop
    private val versions get() = context.versions

    override fun onConfigurationRead(configuration: RoutingConfiguration) = eventLoop.execute {
        if (!context.configuration.adopt(configuration)) return@execute
        DecisionLog.write(
            "configuration",
            "version" to configuration.version,
            "revision" to configuration.revision,
            "routes" to configuration.routes.size,
        )
    }

    override fun onConfigurationConfirmed(sent: CallTime) = eventLoop.execute {
        context.configuration.confirm(sent.mark, sent.instant)
    }

    override fun onEndpointsRead(endpoints: List<EndpointDescription>) = eventLoop.execute {
        endpoints.forEach(::updateEndpoint)
        context.areEndpointsKnown = true
        val vanished = context.endpoints.retainOnly(endpoints.mapTo(HashSet()) { it.id })
        if (vanished.isNotEmpty()) DecisionLog.write("endpoints", "listed" to endpoints.size, "vanished" to vanished)
    }

    override fun onEndpointChanged(endpoint: EndpointDescription) = eventLoop.execute { updateEndpoint(endpoint) }

    override fun onEndpointRemoved(endpoint: EndpointId) = eventLoop.execute {
        val change = context.endpoints.remove(endpoint)
        DecisionLog.write("endpoint", "endpoint" to endpoint, "change" to change)
    }

    override fun onRolloutsRead(orders: List<RolloutOrder>) {
        onOrders(orders)
        eventLoop.execute {
            for (order in orders) {
                if (versions.orderOf(order.service)?.second == order.revision) continue
                versions.applyOrder(order.service, order.target, order.revision)
                DecisionLog.write(
                    "rollout_order",
                    "service" to order.service.value,
                    "target" to order.target.value,
                    "ramp" to order.ramp,
                    "revision" to order.revision,
                )
            }
        }
    }

    override fun onEvacuationsRead(domains: Set<FailureDomainId>) = eventLoop.execute {
        context.areEvacuationsKnown = true
        val before = context.endpoints.evacuated
        if (domains == before) return@execute
        context.endpoints.evacuate(domains, context::coldStart)
        context.metrics.setEvacuatedDomains(domains.size)
        DecisionLog.write(
            "evacuation",
            "begun" to (domains - before).map(FailureDomainId::value),
            "ended" to (before - domains).map(FailureDomainId::value),
        )
    }

    private fun updateEndpoint(endpoint: EndpointDescription) {
        val change = context.endpoints.update(endpoint)
        val known = context.endpoints.find(endpoint.id) ?: return
        context.configuration.current?.services?.get(endpoint.service)?.memoryTokens?.let {
            known.cachedParts.capacityTokens = it
        }
        if (change == EndpointChange.NONE) return
        DecisionLog.write("endpoint", "endpoint" to known, "version" to endpoint.version.value, "change" to change)
    }
}
