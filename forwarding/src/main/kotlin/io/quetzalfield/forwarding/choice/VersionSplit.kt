package io.quetzalfield.forwarding.choice

import io.quetzalfield.decision.stableHash
import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.model.RequestId
import io.quetzalfield.model.ServiceId
import io.quetzalfield.model.SessionId
import io.quetzalfield.model.VersionId
import kotlinx.serialization.Serializable
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** How far a roll-out has come. */
@Serializable
public enum class RolloutPhase { RUNNING, COMPLETE, REVERTED }

/**
 * A roll-out as all instances follow it.
 *
 * @property orderRevision the store's revision of the operator's order; a new order for the same service has another.
 * @property share share of the service's sessions that the new version gets, from 0 to 1.
 * @property firstShare the first share above 0, announced some time before it is given; 0 until it is known.
 */
@Serializable
public data class RolloutStep(
    val service: ServiceId,
    val target: VersionId,
    val orderRevision: Long,
    val phase: RolloutPhase,
    val share: Double,
    val firstShare: Double = 0.0,
) {
    /** Whether the first share is announced or given: sessions under way stay on the version before. */
    internal val isAtFirstShare: Boolean
        get() = phase == RolloutPhase.RUNNING && firstShare > 0 && share <= firstShare
}

/** What stays on one version: a session, or a request outside sessions. */
public data class RolloutSubject(val key: String, val isSession: Boolean) {
    internal val hash: Long = stableHash("rollout|$key")

    public companion object {
        /** The subject of request [id] of [session]. */
        public fun of(session: SessionId?, id: RequestId?): RolloutSubject =
            RolloutSubject(session?.value ?: id?.value.orEmpty(), isSession = session != null)
    }
}

/**
 * Decides which version of a service a request goes to.
 *
 * Load pattern: a new version's endpoints register before, with or after the order to roll it out, by another watch. A
 * version that is new beside others gets nothing until it has been known for [settling] without an order; with an order
 * it gets the share of the order's step. A session stays on the side of the share on which its hash lies, the same at
 * every instance, and as shares only grow it moves at most once. Sessions that are under way as the first share is
 * given are held on the version before until the share grows.
 */
public class VersionSplit(
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val settling: Duration = Settling,
    private val sessions: SessionsUnderWay = SessionsUnderWay(timeSource),
    private val holds: SessionHolds = SessionHolds(),
) {
    private val steps = HashMap<ServiceId, RolloutStep>()
    private val firstSeen = HashMap<Pair<ServiceId, VersionId>, ComparableTimeMark>()
    private val orders = HashMap<ServiceId, Pair<VersionId, Long>>()

    /** The step of a roll-out of [service] that has not ended; `null` without one. */
    public fun runningStepOf(service: ServiceId): RolloutStep? =
        steps[service]?.takeIf { it.phase == RolloutPhase.RUNNING }

    /** Whether two versions of [service] get requests at the same time, so that they can be compared. */
    public fun isComparing(service: ServiceId): Boolean =
        runningStepOf(service)?.let { it.share > 0 && it.share < 1 } ?: false

    /** The target and revision of the operator's order for [service]. */
    public fun orderOf(service: ServiceId): Pair<VersionId, Long>? = orders[service]

    /** Takes an order of the operator: until its first step the target gets nothing. */
    public fun takeOrder(service: ServiceId, target: VersionId, revision: Long) {
        orders[service] = target to revision
    }

    /** Takes a step; says whether it changed anything. A step of an older order is passed over. */
    public fun takeStep(step: RolloutStep): Boolean {
        val standing = steps[step.service]
        if (standing != null && standing.orderRevision > step.orderRevision) return false
        val isSettled = standing != null && standing.phase != RolloutPhase.RUNNING
        if (standing?.orderRevision == step.orderRevision && isSettled) return false
        if (standing == step) return false
        steps[step.service] = step
        if (step.isAtFirstShare) holdSessions(step) else holds.release(step.service)
        return true
    }

    /** Holds the sessions in the first share that this instance has on other versions. */
    private fun holdSessions(step: RolloutStep) {
        sessions.notOn(step.service, step.target).map { RolloutSubject(it.value, isSession = true).hash }
            .filter { fractionOf(it) < step.firstShare }
            .forEach { holds.hold(step.service, step.orderRevision, it) }
    }

    /** Those of [candidates] that run the version which [subject] goes to. */
    public fun filter(service: ServiceId, subject: RolloutSubject, candidates: List<Endpoint>): List<Endpoint> {
        val now = timeSource.markNow()
        candidates.forEach { firstSeen.getOrPut(service to it.description.version) { now } }
        val order = orders[service]
        val step = steps[service]?.takeIf { it.orderRevision == order?.second }
        // Decided also while the target has no endpoints yet, as the session is noted by it.
        val isNew = step != null && goesToTarget(step, subject)
        val versions = candidates.mapTo(HashSet()) { it.description.version }
        if (versions.size < 2) return if (versions.any { isBarred(service, it) }) emptyList() else candidates
        if (order == null) return candidates.settled(service, now)
        return candidates.filter { (it.description.version == order.first) == isNew }.ifEmpty {
            if (step?.phase == RolloutPhase.RUNNING && step.share > 0) candidates else emptyList()
        }
    }

    private fun goesToTarget(step: RolloutStep, subject: RolloutSubject): Boolean = when {
        step.phase == RolloutPhase.REVERTED -> false
        step.isAtFirstShare && subject.isSession && staysBehind(step, subject.hash) -> false
        else -> fractionOf(subject.hash) < step.share
    }

    /** Whether a session is held; one that comes after the first share was announced and before it is given will be. */
    private fun staysBehind(step: RolloutStep, session: Long): Boolean {
        val isBeforeShare = step.share == 0.0
        if (isBeforeShare && fractionOf(session) < step.firstShare) {
            holds.hold(step.service, step.orderRevision, session)
        }
        return isBeforeShare || holds.isHeld(step.service, step.orderRevision, session)
    }

    private fun isBarred(service: ServiceId, version: VersionId): Boolean {
        val step = steps[service] ?: return false
        return step.phase == RolloutPhase.REVERTED && step.target == version &&
            orders[service] == step.target to step.orderRevision
    }

    /** Without an order, versions that are known for long enough; all when none is. */
    private fun List<Endpoint>.settled(service: ServiceId, now: ComparableTimeMark): List<Endpoint> {
        val oldest = minOf { firstSeen.getValue(service to it.description.version) }
        return filter {
            val seen = firstSeen.getValue(service to it.description.version)
            seen == oldest || now - seen > settling
        }
    }

    public companion object {
        /** Longer than an order takes from the store to an instance, also by a listing after a broken watch. */
        public val Settling: Duration = 3.seconds

        private const val FRACTION_BITS = 53

        /** The position of [subject] between 0 and 1, the same in every process. */
        public fun fractionOf(subject: RolloutSubject): Double = fractionOf(subject.hash)

        private fun fractionOf(hash: Long): Double =
            (hash ushr (Long.SIZE_BITS - FRACTION_BITS)).toDouble() / (1L shl FRACTION_BITS)
    }
}
