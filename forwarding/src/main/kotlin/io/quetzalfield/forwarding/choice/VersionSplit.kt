package io.quetzalfield.forwarding.choice

import io.quetzalfield.decision.stableHash
import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.model.ServiceId
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
 */
@Serializable
public data class RolloutStep(
    val service: ServiceId,
    val target: VersionId,
    val orderRevision: Long,
    val phase: RolloutPhase,
    val share: Double,
)

/**
 * Decides which version of a service a request goes to.
 *
 * Load pattern: a new version's endpoints register before, with or after the order to roll it out, by another watch. A
 * version that is new beside others gets nothing until it has been known for [settling] without an order; with an order
 * it gets the share of the order's step. A session stays on the side of the share on which its hash lies, the same at
 * every instance, and as shares only grow it moves at most once.
 */
public class VersionSplit(
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val settling: Duration = Settling,
) {
    private val steps = HashMap<ServiceId, RolloutStep>()
    private val firstSeen = HashMap<Pair<ServiceId, VersionId>, ComparableTimeMark>()
    private val orders = HashMap<ServiceId, Pair<VersionId, Long>>()

    /** The step that [service] is at; `null` without a roll-out. */
    public fun stepOf(service: ServiceId): RolloutStep? = steps[service]

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
        steps[step.service] = step
        return standing != step
    }

    /** Those of [candidates] that run the version which [subject], a session or a single request, goes to. */
    public fun filter(service: ServiceId, subject: String, candidates: List<Endpoint>): List<Endpoint> {
        val now = timeSource.markNow()
        candidates.forEach { firstSeen.getOrPut(service to it.description.version) { now } }
        val versions = candidates.mapTo(HashSet()) { it.description.version }
        if (versions.size < 2) return if (versions.any { isBarred(service, it) }) emptyList() else candidates
        val order = orders[service] ?: return candidates.settled(service, now)
        val step = steps[service]?.takeIf { it.orderRevision == order.second }
        val share = step?.share ?: 0.0
        val isNew = step?.phase != RolloutPhase.REVERTED && fractionOf(subject) < share
        return candidates.filter { (it.description.version == order.first) == isNew }.ifEmpty {
            if (step?.phase == RolloutPhase.RUNNING && share > 0) candidates else emptyList()
        }
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
        public fun fractionOf(subject: String): Double =
            (stableHash("rollout|$subject") ushr (Long.SIZE_BITS - FRACTION_BITS)).toDouble() / (1L shl FRACTION_BITS)
    }
}
