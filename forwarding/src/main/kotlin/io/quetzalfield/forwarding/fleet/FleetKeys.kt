package io.quetzalfield.forwarding.fleet

import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.RequestFingerprint
import io.quetzalfield.model.ServiceId

/** Keys of the router in the store; docs/STATE.md lists all keys. */
public object FleetKeys {
    /** Prefix of the keys that every instance follows. */
    public const val FLEET_PREFIX: String = "fleet/"

    /** Instances that accept requests, one key per instance under its lease. */
    public const val MEMBERS: String = "fleet/members/"

    /** Current steps of roll-outs, one key per service. */
    public const val STEPS: String = "fleet/rollouts/"

    /** Requests that are refused as they make endpoints end, one key for each request or part of prompts. */
    public const val CRASHES: String = "fleet/crashes/"

    /** Sessions that stay on the previous version during a roll-out, one key per service. */
    public const val HOLDS: String = "fleet/sessions/"

    /** Observations of versions, one key per service and instance under the instance's lease. */
    public const val OBSERVATIONS: String = "observations/"

    /** Returns the key of [incarnation]'s membership. */
    public fun member(incarnation: Incarnation): String = "$MEMBERS$incarnation"

    /** Returns the key for the request or part of prompts whose name has the hash [suspect]. */
    public fun blame(suspect: RequestFingerprint): String = "$CRASHES${suspect.value}"

    /** Returns the key of the current step of [service]. */
    public fun step(service: ServiceId): String = STEPS + service.value

    /** Returns the key of the sessions of [service] that stay on the previous version. */
    public fun holds(service: ServiceId): String = HOLDS + service.value

    /** Returns the key of the observations of [service] by [incarnation]. */
    public fun observations(service: ServiceId, incarnation: Incarnation): String =
        "$OBSERVATIONS${service.value}/$incarnation"
}
