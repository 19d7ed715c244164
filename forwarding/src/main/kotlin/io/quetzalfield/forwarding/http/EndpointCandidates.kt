package io.quetzalfield.forwarding.http

import io.quetzalfield.forwarding.choice.RolloutSubject
import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.model.ServiceId
import io.quetzalfield.model.VersionId
import kotlin.time.Duration

/**
 * Selects the endpoints to which one request may be sent. Used on the event loop only.
 *
 * @param isRepeatable whether the request may run again, and so may find out whether an endpoint still fails.
 */
internal class EndpointCandidates(
    private val context: RoutingContext,
    private val service: ServiceId,
    private val subject: RolloutSubject,
    private val progress: StreamProgress,
    private val isRepeatable: Boolean,
) {
    private val tried = HashSet<Endpoint>()

    /** Versions whose endpoints failed the request; other versions are preferred when it is repeated. */
    private val failedVersions = HashSet<VersionId>()

    /** Endpoints that may run the request, including those whose limits allow no request of this instance now. */
    val all: List<Endpoint>
        get() {
            val eligible = context.endpoints.eligible(service)
            val isOpen = context.limits::mayReceive
            val chosen = context.versions.filterOpen(service, subject, eligible, isOpen).ofStreamVersion()
            val allowed = if (failedVersions.isEmpty()) chosen else withoutFailedVersion(chosen, eligible)
            return allowed.ifEmpty { lastResort(eligible) }
        }

    /** Whether one of [all] accepts a request of this instance now. */
    val hasOpen: Boolean get() = all.any(context.limits::mayReceive)

    /** Whether one of [all] has no limit. */
    val hasUnlimited: Boolean get() = !all.all(context.limits::isLimited)

    /** Returns those of [known] that accept a request of this instance now, without those tried if there are others. */
    fun open(known: List<Endpoint>): List<Endpoint> {
        val allowed = known.filter(context.limits::mayReceive)
        val open = if (isRepeatable) allowed else allowed.withoutDoubtful()
        return open.filterNot(tried::contains).ifEmpty { open }
    }

    private fun List<Endpoint>.withoutDoubtful(): List<Endpoint> {
        val now = context.timeSource.markNow()
        return filterNot { it.trust.isDoubtfulAt(now) }.ifEmpty { this }
    }

    /** Time until the limits of [all] allow a request; infinite if they allow none of this instance. */
    fun timeUntilOpen(): Duration = all.minOfOrNull(context.limits::timeUntilAllowed) ?: Duration.INFINITE

    fun recordTry(endpoint: Endpoint) {
        tried += endpoint
    }

    fun recordFailure(endpoint: Endpoint) {
        failedVersions += endpoint.description.version
    }

    /** Makes the endpoints that were tried equal to the others again, as the request changes. */
    fun forgetTries() = tried.clear()

    /**
     * Excludes the target version of a running roll-out if it has failed the request. After the first share of the
     * roll-out, this applies to requests outside sessions only, because a session does not return to the previous
     * version.
     */
    private fun withoutFailedVersion(chosen: List<Endpoint>, eligible: List<Endpoint>): List<Endpoint> {
        val step = context.versions.runningStepOf(service)?.takeIf { it.target in failedVersions } ?: return chosen
        val maySwitch = !subject.isSession || step.isAtFirstShare
        if (progress.hasBegun || !maySwitch) return chosen
        return eligible.filter { it.description.version != step.target }.ifEmpty { chosen }
    }

    private fun lastResort(eligible: List<Endpoint>): List<Endpoint> =
        if (eligible.isEmpty()) context.endpoints.lastResort(service).ofStreamVersion() else emptyList()

    private fun List<Endpoint>.ofStreamVersion(): List<Endpoint> =
        progress.version?.let { version -> filter { it.description.version == version } } ?: this
}
