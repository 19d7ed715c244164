package io.quetzalfield.decision

import arrow.core.Either
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.ModelId
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.Plan

/** The model or version that the caller requested. */
public sealed interface RequestedModel {
    /** Any version that the plan allows. */
    public data object Automatic : RequestedModel

    /** Any version of [model] that the plan allows. */
    public data class AnyVersion(val model: ModelId) : RequestedModel

    /** One version. */
    public data class Exactly(val version: ModelVersionReference) : RequestedModel
}

/**
 * A request for which a route is chosen.
 *
 * @property kind the caller's name for the sort of request, such as `quick-question`; estimates are kept by kind.
 * @property expectedTokens expected number of tokens of the answer.
 * @property maximumStages maximum number of stages of the route; 1 where a single version must answer: for a new
 * session, which keeps its version, and under overload.
 */
public data class RouteRequest(
    val plan: Plan,
    val kind: String,
    val requested: RequestedModel = RequestedModel.Automatic,
    val expectedTokens: Int = DEFAULT_EXPECTED_TOKENS,
    val maximumStages: Int = DEFAULT_MAXIMUM_STAGES,
) {
    public companion object {
        /** Assumed length of an answer whose request sets no limit. */
        public const val DEFAULT_EXPECTED_TOKENS: Int = 256

        /** Number of stages of the longest cascade that is considered. */
        public const val DEFAULT_MAXIMUM_STAGES: Int = 2
    }
}

/**
 * A version that was considered for a route.
 *
 * @property passedOverBecause why the version was not selected; `null` for the versions of the route.
 */
public data class ConsideredVersion(
    val version: ModelVersionReference,
    val estimatedQuality: Double,
    val costPerThousandTokens: Double,
    val passedOverBecause: String?,
)

/**
 * The test that the answer of a first stage must pass.
 *
 * @property minimumScore minimum acceptance score, from 0 to 1, at which the answer is sent to the caller.
 * @property tokens number of tokens after which the score is computed; nothing is sent to the caller before.
 */
public data class AcceptanceGate(val minimumScore: Double, val tokens: Int) {
    /** Whether an answer with [score] is sent to the caller. */
    public fun accepts(score: Double): Boolean = score >= minimumScore
}

/**
 * The stages to run, cheapest first; a later stage runs only when the answer of the stage before it is not accepted.
 *
 * @property considered the versions that were considered, for the explanation of the decision.
 * @property gate the test that the answer of the first of two stages must pass; `null` for a route of one stage.
 */
public data class Route(
    val stages: List<ModelVersionReference>,
    val considered: List<ConsideredVersion>,
    val gate: AcceptanceGate? = null,
)

/** Chooses the route with the lowest expected cost that meets the plan's quality target. */
public fun interface RouteChooser {
    /**
     * Chooses the route for [request].
     *
     * @param excluded versions that are stopped before the lists say so.
     * @return the route, or the reason why no allowed version can answer.
     */
    public fun choose(
        request: RouteRequest,
        snapshot: ListsSnapshot,
        excluded: Set<ModelVersionReference>,
    ): Either<NotRun, Route>
}
