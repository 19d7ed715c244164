package io.quetzalfield.decision

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.ModelVersion
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.NotRun

/** Provides pass rate estimates of versions by kind of request. */
public fun interface QualityEstimates {
    /** The estimated pass rate from 0 to 1; [prior] where nothing has been learned. */
    public fun estimate(version: ModelVersionReference, kind: String, prior: Double): Double

    public companion object {
        /** Uses the priors of the operators' lists only. */
        public val PriorsOnly: QualityEstimates = QualityEstimates { _, _, prior -> prior }
    }
}

/**
 * Selects the cheapest single version whose estimated quality meets the plan's target, or the best one when none does.
 */
public class CheapestSufficientRouteChooser(private val estimates: QualityEstimates = QualityEstimates.PriorsOnly) :
    RouteChooser {
    private class Candidate(val reference: ModelVersionReference, val version: ModelVersion, val quality: Double)

    override fun choose(
        request: RouteRequest,
        snapshot: ListsSnapshot,
        excluded: Set<ModelVersionReference>,
    ): Either<NotRun, Route> {
        val candidates = eligibleVersions(request, snapshot, excluded).map { candidate(it, request) }
        if (candidates.isEmpty()) return noEligibleVersion(request).left()
        val sufficient = candidates.filter { it.quality >= request.plan.qualityTarget }
        val chosen = sufficient.minByOrNull { it.version.costPerThousandTokens } ?: candidates.maxBy { it.quality }
        val considered = candidates.map { it.considered(chosen, request.plan.qualityTarget) }
        return Route(listOf(chosen.reference), considered).right()
    }

    private fun candidate(eligible: EligibleVersion, request: RouteRequest): Candidate {
        val quality = estimates.estimate(eligible.reference, request.kind, eligible.version.priorQuality)
        return Candidate(eligible.reference, eligible.version, quality)
    }

    private fun Candidate.considered(chosen: Candidate, target: Double): ConsideredVersion {
        val reason = when {
            this === chosen -> null
            quality < target -> "estimated quality is below the target of $target"
            else -> "costs more than ${chosen.reference}"
        }
        return ConsideredVersion(reference, quality, version.costPerThousandTokens, reason)
    }
}
