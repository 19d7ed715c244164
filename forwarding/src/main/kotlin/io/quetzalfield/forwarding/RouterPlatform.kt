package io.quetzalfield.forwarding

import io.quetzalfield.forwarding.configuration.RoutingConfiguration
import io.quetzalfield.forwarding.endpoints.EndpointDescription
import io.quetzalfield.forwarding.endpoints.EndpointId
import io.quetzalfield.forwarding.fleet.RolloutOrder
import io.quetzalfield.forwarding.fleet.RolloutReports
import io.quetzalfield.forwarding.http.DirectoryCodec
import io.quetzalfield.forwarding.http.HeaderCodec
import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.store.CallTime
import io.quetzalfield.store.FollowableStore

/** Receives updates from the platform. May be called from any thread. */
public interface PlatformListener {
    /** Called when the operator's configuration has been read. */
    public fun onConfigurationRead(configuration: RoutingConfiguration)

    /** Called when the configuration last read is confirmed to have been the newest one at [sent]. */
    public fun onConfigurationConfirmed(sent: CallTime)

    /** Called with all [endpoints] that have entries. */
    public fun onEndpointsRead(endpoints: List<EndpointDescription>)

    /** Called when the entry of one endpoint has been added or changed. */
    public fun onEndpointChanged(endpoint: EndpointDescription)

    /** Called when the entry of one endpoint has been removed. */
    public fun onEndpointRemoved(endpoint: EndpointId)

    /** Called with all roll-out [orders]. */
    public fun onRolloutsRead(orders: List<RolloutOrder>)

    /** Called with all failure [domains] whose endpoints are to get nothing; before the first configuration. */
    public fun onEvacuationsRead(domains: Set<FailureDomainId>)
}

/** The platform that the router runs on: its store, its HTTP codecs and its update feeds. */
public interface RouterPlatform : AutoCloseable {
    public val store: FollowableStore
    public val headers: HeaderCodec
    public val directory: DirectoryCodec
    public val rolloutReports: RolloutReports

    /** Starts to follow the platform's keys in [store] and to report updates to [listener]. */
    public fun start(listener: PlatformListener, store: FollowableStore)
}
