package io.quetzalfield.decision

import arrow.core.Either
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.Model
import io.quetzalfield.model.ModelVersion
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.VersionState
import kotlin.random.Random

/**
 * A version that is rolled out, with the version before it.
 *
 * @property baseline the version before it.
 * @property share share of the model's new sessions that the version gets, from 0 to 1.
 */
public data class Rollout(val version: ModelVersionReference, val baseline: ModelVersionReference, val share: Double)

/** The roll-outs defined by the lists of [snapshot]. A model without a serving baseline version has none. */
public fun rolloutsOf(snapshot: ListsSnapshot): List<Rollout> = snapshot.lists.models.models.flatMap(::rolloutsOf)

private fun rolloutsOf(model: Model): List<Rollout> {
    val serving = model.versions.filter { it.state == VersionState.SERVING }
    val baseline = serving.lastOrNull { it.newSessionShare == null } ?: return emptyList()
    return serving.mapNotNull { version ->
        version.newSessionShare?.let { Rollout(model.reference(version), model.reference(baseline), it) }
    }
}

private fun Model.reference(version: ModelVersion) = ModelVersionReference(id, version.id)

/**
 * Gives versions that are rolled out their share of new sessions. For each new session or request outside sessions,
 * either the rolled-out version or its baseline is withheld from [delegate], at random in proportion to the share. A
 * version that the caller names is never withheld. Neither is one whose baseline the plan does not allow, unless it was
 * rolled back to a share of 0.
 */
public class RolloutRouteChooser(private val delegate: RouteChooser, private val random: Random = Random.Default) :
    RouteChooser {
    private class CachedRollouts(val snapshot: ListsSnapshot, val rollouts: List<Rollout>)

    @Volatile
    private var cached = CachedRollouts(ListsSnapshot.Empty, emptyList())

    override fun choose(
        request: RouteRequest,
        snapshot: ListsSnapshot,
        excluded: Set<ModelVersionReference>,
    ): Either<NotRun, Route> {
        val rollouts = rolloutsIn(snapshot)
        if (rollouts.isEmpty() || request.requested is RequestedModel.Exactly) {
            return delegate.choose(request, snapshot, excluded)
        }
        val allowed = snapshot.allowedVersions(request.plan.id).filterNot(excluded::contains)
        val withheld = rollouts.mapNotNull { withheld(it, allowed) }
        return delegate.choose(request, snapshot, excluded + withheld)
    }

    private fun rolloutsIn(snapshot: ListsSnapshot): List<Rollout> {
        val current = cached
        if (current.snapshot === snapshot) return current.rollouts
        return rolloutsOf(snapshot).also { cached = CachedRollouts(snapshot, it) }
    }

    private fun withheld(rollout: Rollout, allowed: List<ModelVersionReference>): ModelVersionReference? = when {
        rollout.version !in allowed -> null
        rollout.share <= 0.0 -> rollout.version
        rollout.baseline !in allowed -> null
        drawsRolledOutVersion(rollout.share) -> rollout.baseline
        else -> rollout.version
    }

    private fun drawsRolledOutVersion(share: Double): Boolean = synchronized(random) { random.nextDouble() < share }
}
