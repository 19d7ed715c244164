package io.quetzalfield.decision

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.NotRun
import kotlin.math.min
import kotlin.math.sqrt
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Settings of [CascadeRouteChooser].
 *
 * @property weights relative importance of cost, latency and exposure in the deployment.
 * @property estimateConfidence probability with which the true pass rate is at least its lower bound.
 * @property explorationConfidence probability with which the true pass rate is at most its upper bound; a route whose
 * upper bound misses the target is not explored.
 * @property windowConfidence probability with which a window of [windowAnswers] answers meets the quality target when
 * the pass rate is at its lower bound.
 * @property windowAnswers number of answers over which the quality target must be met.
 * @property gateTokens number of tokens of a first stage's answer after which its acceptance score is computed.
 * @property exploration share of requests without a session that explore routes that may turn out to be better.
 */
public data class CascadeSettings(
    val weights: DecisionWeights,
    val estimateConfidence: Double = 0.75,
    val explorationConfidence: Double = 0.98,
    val windowConfidence: Double = 0.99,
    val windowAnswers: Int = 1_000,
    val gateTokens: Int = DEFAULT_GATE_TOKENS,
    val exploration: ExplorationPlan = ExplorationPlan(),
) {
    public companion object {
        /** Number of tokens after which the acceptance score of an answer is computed. */
        public const val DEFAULT_GATE_TOKENS: Int = 24
    }
}

/**
 * Evaluates all single versions and all two-stage cascades of the eligible versions. Selects the route with the lowest
 * weighted sum of cost, latency and exposure among those whose pass rate reaches the plan's target with the configured
 * confidence.
 *
 * If no route reaches the target with that confidence, the uncertainty of the estimates is ignored. If no route reaches
 * it even then, the route with the highest estimate is selected and [ConsideredVersion.passedOverBecause] gives this
 * reason. Thread-safe if [random] is.
 */
public class CascadeRouteChooser(
    private val settings: CascadeSettings,
    private val estimates: CascadeEstimates,
    private val latencies: LatencyEstimates,
    random: Random,
) : RouteChooser {
    private val exploration = ExplorationSampler(settings.exploration, random)
    private val estimateQuantile = normalQuantile(settings.estimateConfidence)
    private val explorationQuantile = normalQuantile(settings.explorationConfidence)
    private val windowQuantile = normalQuantile(settings.windowConfidence)

    override fun choose(
        request: RouteRequest,
        snapshot: ListsSnapshot,
        excluded: Set<ModelVersionReference>,
    ): Either<NotRun, Route> {
        val eligible = eligibleVersions(request, snapshot, excluded)
        if (eligible.isEmpty()) return noEligibleVersion(request).left()
        val stages = eligible.map { stage(it, request, snapshot) }
        val best = BestOptions(request, highestCost = stages.maxOf { it.cost })
        RouteOptions(request, stages, estimates).forEach(best::add)
        val chosen = if (exploration.isExploration(request)) explorationRoute(request, stages, best) else best.chosen()
        val costReason = "costs more, in cost, latency and exposure, than ${chosen.stages.joinToString(" then ")}"
        val considered = stages.map { stage ->
            val reason = passedOverReason(stage, chosen, best, request.plan.qualityTarget, costReason)
            ConsideredVersion(stage.reference, stage.profile.passRate, stage.version.costPerThousandTokens, reason)
        }
        return Route(chosen.stages, considered, gateOf(chosen)).right()
    }

    private fun gateOf(option: RouteOption): AcceptanceGate? =
        option.gateBin?.let { bin -> AcceptanceGate(ScoreBins.lowerEdge(bin), settings.gateTokens) }

    /**
     * The route of lowest weighted cost through a random subset of [stages] that may reach the target, if it costs less
     * than the regular choice; otherwise the regular choice.
     */
    private fun explorationRoute(request: RouteRequest, stages: List<Stage>, best: BestOptions): RouteOption {
        val sampled = BestOptions(request, best.highestCost)
        RouteOptions(request, exploration.randomSubset(stages), estimates).forEach(sampled::add)
        val regular = best.chosen()
        val candidate = sampled.bestWithinUpperBound() ?: return regular
        return if (sampled.weightedCostOf(candidate) < best.weightedCostOf(regular)) candidate else regular
    }

    private fun stage(eligible: EligibleVersion, request: RouteRequest, snapshot: ListsSnapshot): Stage {
        val source = evidenceSource(eligible, snapshot)
        val profile = estimates.profile(source, request.kind, eligible.version.priorQuality)
        return Stage(
            reference = eligible.reference,
            version = eligible.version,
            evidenceSource = source,
            profile = profile,
            latency = latencies.estimate(source),
            tokens = request.expectedTokens,
            tokensAtGate = min(settings.gateTokens, request.expectedTokens),
        )
    }

    /**
     * The version whose evidence is used for [eligible]. A version that is being rolled out has little evidence of its
     * own and would get no traffic at the configured confidence, so it is evaluated by the evidence on its baseline
     * version. The roll-out test protects the quality.
     */
    private fun evidenceSource(eligible: EligibleVersion, snapshot: ListsSnapshot): ModelVersionReference {
        if (eligible.version.newSessionShare == null) return eligible.reference
        val rollout = rolloutsOf(snapshot).firstOrNull { it.version == eligible.reference }
        return rollout?.baseline ?: eligible.reference
    }

    private fun passedOverReason(
        stage: Stage,
        chosen: RouteOption,
        best: BestOptions,
        target: Double,
        costReason: String,
    ): String? = when {
        stage === chosen.first || stage === chosen.second -> null
        !best.hasSufficient -> "no route reaches the target of $target; the best is taken"
        stage.profile.passRate < target -> "estimated quality is below the target of $target"
        else -> costReason
    }

    /** Collects the best option by each criterion that [choose] may fall back on, in one pass over the options. */
    private inner class BestOptions(request: RouteRequest, val highestCost: Double) {
        private val target = request.plan.qualityTarget
        private val deadlineSeconds = request.plan.deadlineMilliseconds.milliseconds.toDouble(DurationUnit.SECONDS)
        private val confident = LowestCostOption()
        private val estimated = LowestCostOption()
        private val withinUpperBound = LowestCostOption()
        private var highestQuality: RouteOption? = null

        /** Whether the estimate of any route reaches the target. */
        val hasSufficient: Boolean get() = estimated.option != null

        fun add(option: RouteOption) {
            if (option.quality > (highestQuality?.quality ?: -1.0)) highestQuality = option
            val standardError = option.standardError
            if (option.quality + explorationQuantile * standardError < target) return
            val weightedCost = weightedCostOf(option)
            val windowMargin = windowQuantile * sqrt(option.quality * (1 - option.quality) / settings.windowAnswers)
            val estimateMargin = estimateQuantile * standardError
            val combinedMargin = sqrt(windowMargin * windowMargin + estimateMargin * estimateMargin)
            if (option.quality - combinedMargin >= target) confident.offer(option, weightedCost)
            if (option.quality - windowMargin >= target) estimated.offer(option, weightedCost)
            val upperBound = option.quality + explorationQuantile * standardError
            if (upperBound - windowMargin >= target) withinUpperBound.offer(option, weightedCost)
        }

        fun chosen(): RouteOption =
            confident.option ?: estimated.option ?: checkNotNull(highestQuality) { "no route option was evaluated" }

        /** The option with the lowest weighted cost whose upper bound reaches the target; `null` if there is none. */
        fun bestWithinUpperBound(): RouteOption? = withinUpperBound.option

        fun weightedCostOf(option: RouteOption): Double {
            val weights = settings.weights
            val relativeCost = if (highestCost > 0) option.cost / highestCost else 0.0
            return weights.cost * relativeCost +
                weights.latency * option.latencySeconds / deadlineSeconds +
                weights.exposure * option.standardError
        }
    }

    /** Keeps the option with the lowest weighted cost. */
    private class LowestCostOption {
        private var weightedCost = Double.MAX_VALUE
        var option: RouteOption? = null
            private set

        fun offer(candidate: RouteOption, candidateCost: Double) {
            if (candidateCost >= weightedCost) return
            weightedCost = candidateCost
            option = candidate
        }
    }
}
