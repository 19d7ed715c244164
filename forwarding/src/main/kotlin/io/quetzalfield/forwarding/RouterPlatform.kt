package io.quetzalfield.forwarding

import io.quetzalfield.forwarding.configuration.RoutingConfiguration
import io.quetzalfield.forwarding.endpoints.EndpointDescription
import io.quetzalfield.forwarding.endpoints.EndpointId
import io.quetzalfield.forwarding.fleet.RolloutOrder
import io.quetzalfield.forwarding.fleet.RolloutReports
import io.quetzalfield.forwarding.http.DirectoryDialect
import io.quetzalfield.forwarding.http.HeaderDialect
import io.quetzalfield.store.CallTime
import io.quetzalfield.store.FollowableStore

/** What the platform tells the router, from any thread. */
public interface PlatformListener {
    /** The operator's configuration has been read. */
    public fun configurationRead(configuration: RoutingConfiguration)

    /** The configuration last read was the newest when the call at [sent] was sent. */
    public fun configurationConfirmed(sent: CallTime)

    /** Exactly [endpoints] have entries. */
    public fun endpointsRead(endpoints: List<EndpointDescription>)

    /** One endpoint's entry has changed. */
    public fun endpointChanged(endpoint: EndpointDescription)

    /** One endpoint's entry has disappeared. */
    public fun endpointRemoved(endpoint: EndpointId)

    /** Exactly these roll-outs are ordered. */
    public fun rolloutsRead(orders: List<RolloutOrder>)
}

/** The platform under the router: its store, its words and its feeds. */
public interface RouterPlatform : AutoCloseable {
    public val store: FollowableStore
    public val headers: HeaderDialect
    public val directory: DirectoryDialect
    public val rolloutReports: RolloutReports

    /** Starts to report to [listener] what the platform's keys in [store] say. */
    public fun start(listener: PlatformListener, store: FollowableStore)
}
