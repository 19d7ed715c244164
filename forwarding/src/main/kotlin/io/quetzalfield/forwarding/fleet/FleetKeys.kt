package io.quetzalfield.forwarding.fleet

import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.ServiceId

/** Keys of the router in the store; docs/STATE.md lists all keys. */
public object FleetKeys {
    /** What every instance follows. */
    public const val FOLLOWED: String = "fleet/"

    /** Instances that take requests, one key each under its lease. */
    public const val MEMBERS: String = "fleet/members/"

    /** Where roll-outs stand, one key a service. */
    public const val STEPS: String = "fleet/rollouts/"

    /** What instances tell one another of requests that may crash endpoints, one key each under its lease. */
    public const val CRASHES: String = "fleet/crashes/"

    /** What instances have seen of versions, one key for each service and instance, under the instance's lease. */
    public const val OBSERVATIONS: String = "observations/"

    /** The key of [incarnation]'s membership. */
    public fun member(incarnation: Incarnation): String = "$MEMBERS$incarnation"

    /** The key of [incarnation]'s reports of crashes. */
    public fun crashes(incarnation: Incarnation): String = "$CRASHES$incarnation"

    /** The key of the present step of [service]. */
    public fun step(service: ServiceId): String = STEPS + service.value

    /** The key of what [incarnation] has seen of [service]. */
    public fun observations(service: ServiceId, incarnation: Incarnation): String =
        "$OBSERVATIONS${service.value}/$incarnation"
}
