package io.quetzalfield.decision

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.NotRun
import kotlin.math.sqrt
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Settings of [CascadeRouteChooser].
 *
 * @property weights what the deployment minds most.
 * @property estimateConfidence probability with which the true pass rate is at least its lower bound.
 * @property explorationConfidence probability with which the true pass rate is at most its upper bound; a route whose
 * upper bound misses the target is not explored.
 * @property windowConfidence probability with which a window of [windowAnswers] answers meets the quality target when
 * the pass rate is at its lower bound.
 * @property windowAnswers answers over which the quality target is to be met.
 * @property gateTokens tokens of a first stage's answer after which its acceptance score is taken.
 * @property exploration share of requests without a session that try a route which may prove to be better.
 */
public data class CascadeSettings(
    val weights: DecisionWeights,
    val estimateConfidence: Double = 0.75,
    val explorationConfidence: Double = 0.98,
    val windowConfidence: Double = 0.99,
    val windowAnswers: Int = 1_000,
    val gateTokens: Int = 24,
    val exploration: ExplorationPlan = ExplorationPlan(),
)

/**
 * Weighs all single versions and all two-stage cascades of the eligible versions, and takes the least weighted sum of
 * cost, latency and exposure among those whose pass rate is, with the stated confidence, at least the plan's target.
 *
 * Where the evidence suffices for no route, the estimates are trusted without their uncertainty; where no route
 * reaches the target even so, the one of the highest estimate is taken and [ConsideredVersion.passedOverBecause]
 * says so. Thread-safe if [random] is.
 */
public class CascadeRouteChooser(
    private val settings: CascadeSettings,
    private val estimates: CascadeEstimates,
    private val latencies: LatencyEstimates,
    random: Random,
) : RouteChooser {
    private val exploration = ExplorationDraw(settings.exploration, random)
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
        val best = BestOptions(request, dearest = stages.maxOf { it.cost(request.expectedTokens) })
        RouteOptions(request, stages, estimates, settings.gateTokens).forEach(best::weigh)
        val chosen = if (exploration.isExploration(request)) explored(request, stages, best) else best.chosen()
        val considered = stages.map { considered(it, chosen, best, request.plan.qualityTarget) }
        return Route(chosen.stages, considered, chosen.gate).right()
    }

    /** The cheapest route through some of the [stages] that may reach the target, if it is cheaper than the best. */
    private fun explored(request: RouteRequest, stages: List<Stage>, best: BestOptions): RouteOption {
        val some = BestOptions(request, best.dearest)
        RouteOptions(request, exploration.someOf(stages), estimates, settings.gateTokens).forEach(some::weigh)
        val usual = best.chosen()
        val candidate = some.possible() ?: return usual
        return if (some.weightOf(candidate) < best.weightOf(usual)) candidate else usual
    }

    private fun stage(eligible: EligibleVersion, request: RouteRequest, snapshot: ListsSnapshot): Stage {
        val source = evidenceSource(eligible, snapshot)
        val profile = estimates.profile(source, request.kind, eligible.version.priorQuality)
        return Stage(eligible, source, profile, latencies.estimate(source))
    }

    /**
     * A version that is being rolled out has little evidence of its own, and would get no traffic at the stated
     * confidence. It is weighed by the evidence on the version before it; the test of the roll-out guards the quality.
     */
    private fun evidenceSource(eligible: EligibleVersion, snapshot: ListsSnapshot): ModelVersionReference {
        if (eligible.version.newSessionShare == null) return eligible.reference
        val rollout = rolloutsOf(snapshot).firstOrNull { it.version == eligible.reference }
        return rollout?.baseline ?: eligible.reference
    }

    private fun considered(stage: Stage, chosen: RouteOption, best: BestOptions, target: Double): ConsideredVersion {
        val quality = stage.profile.passRate
        val reason = when {
            stage === chosen.first || stage === chosen.second -> null
            !best.hasSufficient -> "no route reaches the target of $target; the best is taken"
            quality < target -> "estimated quality is below the target of $target"
            else -> "costs more, in cost, latency and exposure, than ${chosen.stages.joinToString(" then ")}"
        }
        return ConsideredVersion(stage.reference, quality, stage.costPerThousandTokens, reason)
    }

    /** The best option by each of the criteria that [choose] falls back on, in one pass over the options. */
    private inner class BestOptions(request: RouteRequest, val dearest: Double) {
        private val target = request.plan.qualityTarget
        private val deadlineSeconds = request.plan.deadlineMilliseconds.milliseconds.toDouble(DurationUnit.SECONDS)
        private val certain = Cheapest()
        private val probable = Cheapest()
        private val possible = Cheapest()
        private var highest: RouteOption? = null

        /** Whether any route reaches the target by its estimate. */
        val hasSufficient: Boolean get() = probable.option != null

        fun weigh(option: RouteOption) {
            val weight = weightOf(option)
            val windowMargin = windowQuantile * sqrt(option.quality * (1 - option.quality) / settings.windowAnswers)
            val estimateMargin = estimateQuantile * option.standardError
            val combinedMargin = sqrt(windowMargin * windowMargin + estimateMargin * estimateMargin)
            if (option.quality - combinedMargin >= target) certain.offer(option, weight)
            if (option.quality - windowMargin >= target) probable.offer(option, weight)
            val explorationMargin = explorationQuantile * option.standardError
            if (option.quality - windowMargin + explorationMargin >= target) possible.offer(option, weight)
            if (option.quality > (highest?.quality ?: -1.0)) highest = option
        }

        fun chosen(): RouteOption =
            certain.option ?: probable.option ?: checkNotNull(highest) { "no option was weighed" }

        /** The cheapest option that may reach the target, as far as the evidence goes. */
        fun possible(): RouteOption? = possible.option

        fun weightOf(option: RouteOption): Double {
            val weights = settings.weights
            val relativeCost = if (dearest > 0) option.cost / dearest else 0.0
            return weights.cost * relativeCost +
                weights.latency * option.latencySeconds / deadlineSeconds +
                weights.exposure * option.standardError
        }
    }

    private class Cheapest {
        private var weight = Double.MAX_VALUE
        var option: RouteOption? = null
            private set

        fun offer(candidate: RouteOption, candidateWeight: Double) {
            if (candidateWeight >= weight) return
            weight = candidateWeight
            option = candidate
        }
    }
}
