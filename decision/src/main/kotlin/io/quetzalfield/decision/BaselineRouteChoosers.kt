package io.quetzalfield.decision

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.NotRun

/** Selects a single version by a fixed rule, regardless of learned estimates. A baseline for comparisons. */
public class SingleVersionRouteChooser private constructor(
    private val select: (List<EligibleVersion>) -> EligibleVersion,
) : RouteChooser {
    override fun choose(
        request: RouteRequest,
        snapshot: ListsSnapshot,
        excluded: Set<ModelVersionReference>,
    ): Either<NotRun, Route> {
        val eligible = eligibleVersions(request, snapshot, excluded)
        if (eligible.isEmpty()) return noEligibleVersion(request).left()
        return Route(listOf(select(eligible).reference), emptyList()).right()
    }

    public companion object {
        /** Selects the version with the highest prior quality. */
        public val Best: RouteChooser =
            SingleVersionRouteChooser { it.maxBy { candidate -> candidate.version.priorQuality } }

        /** Selects the version with the lowest cost. */
        public val Cheapest: RouteChooser =
            SingleVersionRouteChooser { it.minBy { candidate -> candidate.version.costPerThousandTokens } }
    }
}

/**
 * Routes to the cheapest version first and to the best version when the score of the first answer is below a fixed
 * [gate]; routes to the best version only where a single version must answer. A baseline for comparisons.
 */
public class FixedCascadeRouteChooser(private val gate: AcceptanceGate) : RouteChooser {
    override fun choose(
        request: RouteRequest,
        snapshot: ListsSnapshot,
        excluded: Set<ModelVersionReference>,
    ): Either<NotRun, Route> {
        val best = SingleVersionRouteChooser.Best.choose(request, snapshot, excluded)
        if (request.maximumStages < 2) return best
        return best.map { route ->
            val cheapest = SingleVersionRouteChooser.Cheapest.choose(request, snapshot, excluded).getOrNull()
            val stages = (cheapest?.stages.orEmpty() + route.stages).distinct()
            Route(stages, emptyList(), gate.takeIf { stages.size > 1 })
        }
    }
}
