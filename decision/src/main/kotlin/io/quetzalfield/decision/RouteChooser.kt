package io.quetzalfield.decision

import arrow.core.Either
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.ModelId
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.Plan

/** What the caller asked to be answered by. */
public sealed interface RequestedModel {
    /** Any version that the plan allows. */
    public data object Automatic : RequestedModel

    /** Any version of [model] that the plan allows. */
    public data class AnyVersion(val model: ModelId) : RequestedModel

    /** One version. */
    public data class Exactly(val version: ModelVersionReference) : RequestedModel
}

/**
 * What a route is chosen for.
 *
 * @property kind the caller's name for the sort of request, such as `quick-question`; estimates are kept by kind.
 * @property expectedTokens how many tokens the answer is expected to have.
 * @property maximumStages 1 where a single version must answer: for a new session, which keeps its version, and under
 * overload.
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

        /** Stages of the longest cascade that is weighed. */
        public const val DEFAULT_MAXIMUM_STAGES: Int = 2
    }
}

/**
 * A version that was weighed.
 *
 * @property passedOverBecause why it was not taken; `null` for the versions of the route.
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
 * @property minimumScore the least acceptance score, from 0 to 1, with which the answer goes to the caller.
 * @property tokens after how many tokens the score is taken; until then nothing goes to the caller.
 */
public data class AcceptanceGate(val minimumScore: Double, val tokens: Int) {
    /** Whether an answer with [score] goes to the caller. */
    public fun accepts(score: Double): Boolean = score >= minimumScore
}

/**
 * The stages to run, cheapest first; a later stage runs only when the answer of the stage before it is not accepted.
 *
 * @property gate what the answer of the first of two stages must pass; `null` for a route of one stage.
 */
public data class Route(
    val stages: List<ModelVersionReference>,
    val considered: List<ConsideredVersion>,
    val gate: AcceptanceGate? = null,
)

/** Chooses the route of least expected cost that meets the plan's quality target. */
public fun interface RouteChooser {
    /**
     * @param excluded versions that are stopped ahead of the lists.
     * @return the route, or why no allowed version can answer.
     */
    public fun choose(
        request: RouteRequest,
        snapshot: ListsSnapshot,
        excluded: Set<ModelVersionReference>,
    ): Either<NotRun, Route>
}
