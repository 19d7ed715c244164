package io.quetzalfield.forwarding.choice

import io.quetzalfield.decision.stableHash
import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.model.RequestId
import io.quetzalfield.model.ServiceId
import io.quetzalfield.model.SessionId
import io.quetzalfield.model.VersionId
import io.quetzalfield.store.StoreRevision
import kotlinx.serialization.Serializable
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Progress of a roll-out. */
@Serializable
public enum class RolloutPhase { RUNNING, COMPLETE, REVERTED }

/**
 * State of a roll-out that all instances follow.
 *
 * @property orderRevision the store's revision of the operator's order; a new order for the same service has another.
 * @property share share of the service's sessions that the new version gets, from 0 to 1.
 * @property firstShare the first share above 0, announced some time before it takes effect; 0 until it is known.
 * @property number counts the steps of the order, so that instances can confirm each; a step may change nothing else.
 */
@Serializable
public data class RolloutStep(
    val service: ServiceId,
    val target: VersionId,
    val orderRevision: StoreRevision,
    val phase: RolloutPhase,
    val share: Double,
    val firstShare: Double = 0.0,
    val number: Int = 0,
) {
    /** Whether the roll-out has ended. */
    internal val hasEnded: Boolean get() = phase != RolloutPhase.RUNNING

    /**
     * Whether this step is of the same roll-out as an order for [target] at [revision]: of that order, or of the same
     * one before the store was restored and the operator wrote it again.
     */
    internal fun belongsTo(target: VersionId, revision: StoreRevision): Boolean =
        this.target == target && (orderRevision == revision || orderRevision.era < revision.era)

    /** Whether [later] undoes progress of the same order, as the record in a restored store does. */
    internal fun isAheadOf(later: RolloutStep): Boolean =
        orderRevision == later.orderRevision && (hasEnded || progress > later.progress)

    /** Orders the steps of one roll-out. */
    internal val progress: Double
        get() = when {
            hasEnded -> Double.MAX_VALUE
            share > 0 -> 1 + share
            else -> firstShare
        }

    /** Whether the first share is announced or in effect, so that active sessions stay on the previous version. */
    internal val isAtFirstShare: Boolean
        get() = phase == RolloutPhase.RUNNING && firstShare > 0 && share <= firstShare
}

/** Unit that is assigned to one version: a session, or a request outside sessions. */
public data class RolloutSubject(val key: String, val isSession: Boolean) {
    internal val hash: Long = stableHash("rollout|$key")

    public companion object {
        /** Returns the subject of request [id] of [session]. */
        public fun of(session: SessionId?, id: RequestId?): RolloutSubject =
            RolloutSubject(session?.value ?: id?.value.orEmpty(), isSession = session != null)
    }
}

/**
 * Decides which version of a service a request goes to.
 *
 * Load pattern: a new version's endpoints register before, with or after the order to roll it out, which arrives by
 * another watch. A version that appears beside others gets no requests until it has been known for [settling] without
 * an order; with an order it gets the share of the order's step. A session is assigned by its hash, in the same way at
 * every instance, and as shares only grow it changes versions at most once. Sessions that are active when the first
 * share takes effect are held on the previous version until the share grows.
 */
public class VersionSplit(
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val settling: Duration = Settling,
    private val sessions: ActiveSessions = ActiveSessions(timeSource),
    private val holds: SessionHolds = SessionHolds(),
) {
    private val steps = HashMap<ServiceId, RolloutStep>()
    private val firstSeen = HashMap<Pair<ServiceId, VersionId>, ComparableTimeMark>()
    private val orders = HashMap<ServiceId, Pair<VersionId, StoreRevision>>()

    /** The latest step of a roll-out of [service]; `null` without one. */
    public fun stepOf(service: ServiceId): RolloutStep? = steps[service]

    /** The step of the running roll-out of [service]; `null` without one. */
    public fun runningStepOf(service: ServiceId): RolloutStep? =
        steps[service]?.takeIf { it.phase == RolloutPhase.RUNNING }

    /** Whether two versions of [service] get requests at the same time, so that they can be compared. */
    public fun isComparing(service: ServiceId): Boolean =
        runningStepOf(service)?.let { it.share > 0 && it.share < 1 } ?: false

    /** The target and revision of the operator's order for [service]. */
    public fun orderOf(service: ServiceId): Pair<VersionId, StoreRevision>? = orders[service]

    /**
     * Sets the operator's order for [service]; until its first step the target gets no requests. An order that has been
     * written again after the store was restored continues at the step that it had reached.
     */
    public fun applyOrder(service: ServiceId, target: VersionId, revision: StoreRevision) {
        orders[service] = target to revision
        val reached = steps[service]?.takeIf { it.belongsTo(target, revision) } ?: return
        steps[service] = reached.copy(orderRevision = revision)
        holds.continueAt(service, revision)
    }

    /** Applies a step and returns whether it changed anything. A step of an older order is ignored. */
    public fun applyStep(step: RolloutStep): Boolean {
        val current = steps[step.service]
        if (current != null && current.orderRevision > step.orderRevision) return false
        if (current == step || current?.isAheadOf(step) == true) return false
        steps[step.service] = step
        if (step.isAtFirstShare) holdSessions(step) else holds.release(step.service)
        return true
    }

    /** Holds the sessions in the first share that are active at this instance on other versions. */
    private fun holdSessions(step: RolloutStep) {
        sessions.activeOnOtherVersions(step.service, step.target)
            .map { RolloutSubject(it.value, isSession = true).hash }
            .filter { fractionOf(it) < step.firstShare }
            .forEach { holds.hold(step.service, step.orderRevision, it) }
    }

    /** Returns those of [candidates] that run the version to which [subject] is assigned. */
    public fun filter(service: ServiceId, subject: RolloutSubject, candidates: List<Endpoint>): List<Endpoint> {
        val now = timeSource.markNow()
        candidates.forEach { firstSeen.getOrPut(service to it.description.version) { now } }
        val order = orders[service]
        val step = steps[service]?.takeIf { it.orderRevision == order?.second }
        // Evaluated also while the target has no endpoints, as this may hold the session.
        val isForTarget = step != null && goesToTarget(step, subject)
        val versions = candidates.mapTo(HashSet()) { it.description.version }
        if (versions.size < 2) return if (versions.any { isReverted(service, it) }) emptyList() else candidates
        if (order == null) return candidates.settled(service, now)
        return candidates.filter { (it.description.version == order.first) == isForTarget }.ifEmpty {
            if (step?.phase == RolloutPhase.RUNNING && step.share > 0) candidates else emptyList()
        }
    }

    /**
     * Returns the result of [filter], or, while none of it [isOpen], the open endpoints of the other versions if
     * [subject] is a request outside sessions that belongs to the share of a running roll-out.
     *
     * Load pattern: the endpoints of a new version have all just started and are cold, so that they take fewer requests
     * than the share contains. A request of the share may always run on the version before.
     */
    public fun filterOpen(
        service: ServiceId,
        subject: RolloutSubject,
        candidates: List<Endpoint>,
        isOpen: (Endpoint) -> Boolean,
    ): List<Endpoint> {
        val chosen = filter(service, subject, candidates)
        val target = runningStepOf(service)?.target
        val isOfShare = !subject.isSession && target != null && chosen.any { it.description.version == target }
        if (!isOfShare || chosen.any(isOpen)) return chosen
        return candidates.filter { it.description.version != target && isOpen(it) }.ifEmpty { chosen }
    }

    private fun goesToTarget(step: RolloutStep, subject: RolloutSubject): Boolean = when {
        step.phase == RolloutPhase.REVERTED -> false
        step.isAtFirstShare && subject.isSession && staysOnPrevious(step, subject.hash) -> false
        else -> fractionOf(subject.hash) < step.share
    }

    /** Whether a session stays on the previous version; one that comes before the announced share applies is held. */
    private fun staysOnPrevious(step: RolloutStep, session: Long): Boolean {
        val isBeforeShare = step.share == 0.0
        if (isBeforeShare && fractionOf(session) < step.firstShare) {
            holds.hold(step.service, step.orderRevision, session)
        }
        return isBeforeShare || holds.isHeld(step.service, step.orderRevision, session)
    }

    private fun isReverted(service: ServiceId, version: VersionId): Boolean {
        val step = steps[service] ?: return false
        return step.phase == RolloutPhase.REVERTED && step.target == version &&
            orders[service] == step.target to step.orderRevision
    }

    /** Without an order: the endpoints of the versions that were seen first or are known for longer than [settling]. */
    private fun List<Endpoint>.settled(service: ServiceId, now: ComparableTimeMark): List<Endpoint> {
        val oldest = minOf { firstSeen.getValue(service to it.description.version) }
        return filter {
            val seen = firstSeen.getValue(service to it.description.version)
            seen == oldest || now - seen > settling
        }
    }

    public companion object {
        /** Longer than an order takes from the store to an instance, also if by a listing after a broken watch. */
        public val Settling: Duration = 3.seconds

        private const val FRACTION_BITS = 53

        /** Returns the position of [subject] between 0 and 1, the same in every process. */
        public fun fractionOf(subject: RolloutSubject): Double = fractionOf(subject.hash)

        private fun fractionOf(hash: Long): Double =
            (hash ushr (Long.SIZE_BITS - FRACTION_BITS)).toDouble() / (1L shl FRACTION_BITS)
    }
}
