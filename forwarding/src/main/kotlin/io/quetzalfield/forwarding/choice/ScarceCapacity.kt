package io.quetzalfield.forwarding.choice

import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.ServiceId
import kotlin.time.TimeSource

/**
 * What is decided differently where callers ask at times for more than the endpoints can do. Used on the event loop
 * only.
 *
 * Load pattern: a burst, or the loss of a failure domain, keeps nearly all endpoints reading prompts, while most of
 * their slots are free.
 */
public class ScarceCapacity(private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic) {
    private val readingLoads = HashMap<ServiceId, ReadingLoad>()
    private val demand = AccountDemand(timeSource)

    /** Asks no larger model while the endpoints are fully busy. */
    public val cascade: ModelCascade = ConfidenceCascade(busyThreshold = 0, fullOccupancy = 1.0)

    /**
     * Fraction of the capacity of [service] that is in use, of whose [endpoints] the part [inSlots] of the slots is
     * taken and [reading] have prompts to read now.
     */
    public fun occupancy(service: ServiceId, inSlots: Double, reading: Int, endpoints: Int): Double {
        val load = readingLoads.getOrPut(service) { ReadingLoad(timeSource) }
        load.record(reading, endpoints)
        return maxOf(inSlots, load.occupancy)
    }

    /**
     * Counts a request of [account] for [service] and returns whether it is to wait behind those of the others, as the
     * account sends many times its usual while the endpoints are busy.
     */
    public fun isDemoted(account: ClientAccountId, service: ServiceId): Boolean =
        demand.record(account) && (readingLoads[service]?.occupancy ?: 0.0) > 0.0

    public companion object {
        /** Cost of reading a prompt token in relation to waiting for one. */
        public const val READ_WEIGHT: Int = 4

        /** Steps of urgency by which a request is demoted: below the priorities of the usual routes. */
        public const val DEMOTION: Int = 4
    }
}
