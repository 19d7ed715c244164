package io.quetzalfield.forwarding.endpoints

import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.RunnerId
import io.quetzalfield.model.ServiceId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.TimeSource

/** Effect of a change of an endpoint's entry on the directory. */
public enum class EndpointChange { NONE, ADDED, RESTARTED, LEAVING, RETURNED, VANISHED }

/**
 * The endpoints of all services, according to their entries in the store.
 *
 * An entry that disappears may only have expired while the store was unavailable; a live runner writes it again within
 * about two seconds. Until [returnGrace] has passed the endpoint is a last resort, afterwards it counts as ended.
 *
 * @param trialTurn the turn of this instance among those that find out whether an endpoint still fails.
 */
public class EndpointDirectory(
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val returnGrace: Duration = ReturnGrace,
    private val trialTurn: (EndpointId) -> TrialTurn = { TrialTurn() },
) {
    private val endpoints = LinkedHashMap<EndpointId, Endpoint>()

    /** Called with an endpoint of which the others are to be told. */
    public var onTrustChanged: (Endpoint, TrustChange) -> Unit = { _, _ -> }

    /** Failure domains that get no new work, by order of the operator. */
    public var evacuated: Set<FailureDomainId> = emptySet()
        private set

    /** All known endpoints, including those that are leaving. */
    public val all: Collection<Endpoint> get() = endpoints.values

    /** Returns the endpoint [id]; `null` when it is not known. */
    public fun find(id: EndpointId): Endpoint? = endpoints[id]

    /** Returns the endpoint whose present start is [start]; `null` when there is none. */
    public fun findStart(start: RunnerId): Endpoint? =
        find(EndpointId(start.value.substringBeforeLast('@')))?.takeIf { it.startId == start }

    /** Adds or updates an endpoint from its entry. */
    public fun update(description: EndpointDescription): EndpointChange {
        val known = endpoints[description.id]
        if (known == null) {
            val added = add(description)
            endpoints[description.id] = added
            added.isEvacuated = isInEvacuated(added)
            added.recordCold(description.coldFor, timeSource.markNow())
            return if (description.isLeaving) EndpointChange.LEAVING else EndpointChange.ADDED
        }
        val before = known.description
        val isRestart = before.start != description.start || before.address != description.address
        val hadVanished = known.vanishedAt != null
        // The announcement of an end is final for one start: an older entry may still arrive after it.
        val isLeaving = description.isLeaving || (before.isLeaving && !isRestart)
        known.description = description.copy(isLeaving = isLeaving)
        known.vanishedAt = null
        known.isEvacuated = isInEvacuated(known)
        known.recordCold(description.coldFor, timeSource.markNow())
        return when {
            isRestart -> EndpointChange.RESTARTED.also { known.resetAfterRestart() }
            isLeaving && !before.isLeaving -> EndpointChange.LEAVING
            hadVanished -> EndpointChange.RETURNED
            else -> EndpointChange.NONE
        }
    }

    private fun add(description: EndpointDescription): Endpoint {
        val id = description.id
        val trust = EndpointTrust({ trialTurn(id) }) { change -> find(id)?.let { onTrustChanged(it, change) } }
        return Endpoint(description, trust)
    }

    /**
     * Replaces the failure domains that get no new work. Endpoints of a domain that is taken back count as cold for the
     * time that [coldStart] returns for their service, as their entries may not show it yet.
     */
    public fun evacuate(domains: Set<FailureDomainId>, coldStart: (ServiceId) -> Duration) {
        val takenBack = evacuated - domains
        evacuated = domains
        val now = timeSource.markNow()
        for (endpoint in endpoints.values) {
            endpoint.isEvacuated = isInEvacuated(endpoint)
            if (endpoint.failureDomain in takenBack) {
                endpoint.recordCold(maxOf(coldStart(endpoint.description.service), endpoint.description.coldFor), now)
            }
        }
    }

    private fun isInEvacuated(endpoint: Endpoint) = endpoint.failureDomain in evacuated

    private val Endpoint.failureDomain get() = FailureDomainId(description.failureDomain)

    /**
     * Records that [endpoint] has stated itself that it will end, and returns whether that was not known. It is final
     * for this start of the endpoint: an older entry, in which it still serves, may arrive after it.
     */
    public fun markLeaving(endpoint: Endpoint): Boolean {
        if (endpoint.description.isLeaving) return false
        endpoint.description = endpoint.description.copy(isLeaving = true)
        return true
    }

    /** Whether [endpoint] may get new work, also as a last resort when no other endpoint of its service may. */
    public fun isUsable(endpoint: Endpoint): Boolean = endpoint.isEligible ||
        endpoint.description.service.let { eligible(it).isEmpty() && endpoint in lastResort(it) }

    /** Records that the entry of [id] has disappeared. */
    public fun remove(id: EndpointId): EndpointChange {
        val known = endpoints[id] ?: return EndpointChange.NONE
        if (known.vanishedAt != null) return EndpointChange.NONE
        known.vanishedAt = timeSource.markNow()
        removeExpired()
        return EndpointChange.VANISHED
    }

    /** Records that only [present] have entries; returns the endpoints whose entry has disappeared by this. */
    public fun retainOnly(present: Set<EndpointId>): List<EndpointId> =
        endpoints.keys.filter { it !in present && remove(it) == EndpointChange.VANISHED }

    /** Returns the endpoints of [service] that may get new work. */
    public fun eligible(service: ServiceId): List<Endpoint> =
        endpoints.values.filter { it.description.service == service && it.isEligible }

    /** Returns endpoints of [service] whose entry has only just disappeared; used when there are no others. */
    public fun lastResort(service: ServiceId): List<Endpoint> {
        val now = timeSource.markNow()
        return endpoints.values.filter {
            it.description.service == service && !it.hasEnded && !it.description.isLeaving && !it.isEvacuated &&
                it.isWithin(now, returnGrace)
        }
    }

    /** Whether an endpoint of [service] gets no new work only because its failure domain is evacuated. */
    public fun isEvacuated(service: ServiceId): Boolean = endpoints.values.any {
        it.description.service == service && it.isEvacuated && !it.hasEnded && !it.description.isLeaving &&
            it.vanishedAt == null
    }

    private fun Endpoint.isWithin(now: ComparableTimeMark, limit: Duration): Boolean =
        vanishedAt?.let { now - it <= limit } ?: true

    private fun removeExpired() {
        val now = timeSource.markNow()
        endpoints.values.removeAll { it.inFlight == 0 && !it.isWithin(now, EndedRetention) }
    }

    public companion object {
        /** Below the 2 s after which work sent to an endpoint that has left would violate the drain bound. */
        public val ReturnGrace: Duration = 1_500.milliseconds

        /** Time after which an ended endpoint is removed, which keeps the directory bounded. */
        private val EndedRetention = 1.minutes
    }
}
