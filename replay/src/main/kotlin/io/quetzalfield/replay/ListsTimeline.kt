package io.quetzalfield.replay

import io.quetzalfield.model.ClientPlanList
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.Model
import io.quetzalfield.model.ModelList
import io.quetzalfield.model.ModelVersion
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.OperatorLists
import io.quetzalfield.model.PlanPermission
import io.quetzalfield.model.SigningKey
import io.quetzalfield.model.VersionState

/** The listed state of a version; [newSessionShare] is `null` when the version is not being rolled out. */
private data class Listing(val state: VersionState = VersionState.SERVING, val newSessionShare: Double? = null)

/** The initial lists of a generated trace and their changes, at times given as shares of the duration of the trace. */
internal class ListsTimeline(private val deployment: Deployment) {
    private val listings = LinkedHashMap<ModelVersionReference, Listing>()
    private var revision = ListsRevision(0)

    fun initial(): OperatorLists {
        deployment.versions.filter { it.isListedAtStart }.forEach { listings[it.reference] = Listing() }
        return lists()
    }

    /** The changes with their times as shares of the duration; call [initial] first. */
    fun changes(): List<Pair<Double, OperatorLists>> {
        val rollouts = deployment.rollouts
        return listOf(
            change(HEALTHY_STARTS) { put(rollouts.healthy, Listing(newSessionShare = FIRST_STEP)) },
            change(HEALTHY_WIDENS) { put(rollouts.healthy, Listing(newSessionShare = SECOND_STEP)) },
            change(HEALTHY_COMPLETE) {
                put(rollouts.healthy, Listing())
                put(rollouts.replaced, Listing(VersionState.DRAINING))
            },
            change(BAD_STARTS) { put(rollouts.bad, Listing(newSessionShare = FIRST_STEP)) },
            change(BAD_WIDENS) { put(rollouts.bad, Listing(newSessionShare = SECOND_STEP)) },
            change(BAD_ENDS) {
                put(rollouts.bad, Listing(VersionState.WITHDRAWN))
                put(rollouts.replaced, Listing(VersionState.WITHDRAWN))
            },
        )
    }

    private fun change(
        share: Double,
        edit: LinkedHashMap<ModelVersionReference, Listing>.() -> Unit,
    ): Pair<Double, OperatorLists> {
        listings.edit()
        return share to lists()
    }

    private fun lists(): OperatorLists {
        revision = ListsRevision(revision.value + 1)
        val models = listings.keys.groupBy { it.model }.map { (model, references) ->
            Model(model, references.map(::listedVersion))
        }
        val permissions = deployment.plans.map { PlanPermission(it.id, listings.keys.toList()) }
        val signingKey = SigningKey(id = "trace", secret = "not-used-by-replay-not-used-by-replay")
        val plans = ClientPlanList(deployment.plans, deployment.accounts, listOf(signingKey))
        return OperatorLists(revision, plans, ModelList(models, permissions = permissions))
    }

    private fun listedVersion(reference: ModelVersionReference): ModelVersion {
        val profile = deployment.versions.first { it.reference == reference }
        val listing = listings.getValue(reference)
        return ModelVersion(
            id = reference.version,
            state = listing.state,
            costPerThousandTokens = profile.costPerThousandTokens,
            priorQuality = profile.priorQuality,
            newSessionShare = listing.newSessionShare,
        )
    }

    companion object {
        const val FIRST_STEP = 0.1
        const val SECOND_STEP = 0.5
        const val HEALTHY_STARTS = 0.25
        const val HEALTHY_WIDENS = 0.32
        const val HEALTHY_COMPLETE = 0.4
        const val BAD_STARTS = 0.5
        const val BAD_WIDENS = 0.55
        const val BAD_ENDS = 0.6
    }
}
