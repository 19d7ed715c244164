package io.quetzalfield.decision

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.NotRun

/** Always takes one version, whatever was learnt: a baseline to compare with. */
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
        /** Takes the version of the highest prior quality. */
        public val Best: RouteChooser = SingleVersionRouteChooser { it.maxBy { one -> one.version.priorQuality } }

        /** Takes the version of the least cost. */
        public val Cheapest: RouteChooser =
            SingleVersionRouteChooser { it.minBy { one -> one.version.costPerThousandTokens } }
    }
}

/**
 * Takes the cheapest version, then the best where the first answer's score is below a fixed [gate]; the best alone
 * where a single version must answer. A baseline to compare with.
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
