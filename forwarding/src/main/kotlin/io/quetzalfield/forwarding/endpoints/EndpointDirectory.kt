package io.quetzalfield.forwarding.endpoints

import io.quetzalfield.model.ServiceId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.TimeSource

/** What became of an endpoint's entry. */
public enum class EndpointChange { NONE, ADDED, RESTARTED, LEAVING, RETURNED, VANISHED }

/**
 * The endpoints of all services by the entries in the store.
 *
 * An entry that disappears may only have expired while the store was away; a runner that lives writes it again within
 * about two seconds. Until [returnGrace] has passed the endpoint is a last resort, after it the endpoint is gone.
 */
public class EndpointDirectory(
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val returnGrace: Duration = ReturnGrace,
) {
    private val endpoints = LinkedHashMap<EndpointId, Endpoint>()

    /** All endpoints that are known, also those that leave. */
    public val all: Collection<Endpoint> get() = endpoints.values

    /** The endpoint [id]. */
    public fun find(id: EndpointId): Endpoint? = endpoints[id]

    /** Takes what an endpoint's entry says. */
    public fun update(description: EndpointDescription): EndpointChange {
        val known = endpoints[description.id]
        if (known == null) {
            endpoints[description.id] = Endpoint(description)
            return if (description.isLeaving) EndpointChange.LEAVING else EndpointChange.ADDED
        }
        val before = known.description
        val isRestart = before.start != description.start || before.address != description.address
        val hadVanished = known.vanishedAt != null
        // An announced end is final for one start: an older entry may still arrive after it.
        val isLeaving = description.isLeaving || (before.isLeaving && !isRestart)
        known.description = description.copy(isLeaving = isLeaving)
        known.vanishedAt = null
        return when {
            isRestart -> EndpointChange.RESTARTED.also { known.startAnew() }
            isLeaving && !before.isLeaving -> EndpointChange.LEAVING
            hadVanished -> EndpointChange.RETURNED
            else -> EndpointChange.NONE
        }
    }

    /** Notes that the entry of [id] has disappeared. */
    public fun remove(id: EndpointId): EndpointChange {
        val known = endpoints[id] ?: return EndpointChange.NONE
        if (known.vanishedAt != null) return EndpointChange.NONE
        known.vanishedAt = timeSource.markNow()
        forgetOld()
        return EndpointChange.VANISHED
    }

    /** Notes that only [present] have entries. */
    public fun retain(present: Set<EndpointId>): List<EndpointId> =
        endpoints.keys.filter { it !in present && remove(it) == EndpointChange.VANISHED }

    /** The endpoints of [service] that may get new work. */
    public fun eligible(service: ServiceId): List<Endpoint> =
        endpoints.values.filter { it.description.service == service && it.isEligible }

    /** Endpoints of [service] whose entry has only just disappeared; for when there are no others. */
    public fun lastResort(service: ServiceId): List<Endpoint> {
        val now = timeSource.markNow()
        return endpoints.values.filter {
            it.description.service == service && !it.isGone && !it.description.isLeaving &&
                it.isWithin(now, returnGrace)
        }
    }

    private fun Endpoint.isWithin(now: ComparableTimeMark, limit: Duration): Boolean =
        vanishedAt?.let { now - it <= limit } ?: true

    private fun forgetOld() {
        val now = timeSource.markNow()
        endpoints.values.removeAll { it.inFlight == 0 && !it.isWithin(now, MemoryOfEnded) }
    }

    public companion object {
        /** Below the 2 s after which work sent to an endpoint that has left would break the drain bound. */
        public val ReturnGrace: Duration = 1_500.milliseconds

        /** Time after which an ended endpoint's record is dropped; keeps the directory bounded. */
        private val MemoryOfEnded = 1.minutes
    }
}
