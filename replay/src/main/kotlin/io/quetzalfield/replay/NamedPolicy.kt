package io.quetzalfield.replay

import io.quetzalfield.decision.AcceptanceGate
import io.quetzalfield.decision.CascadeRouteChooser
import io.quetzalfield.decision.CascadeSettings
import io.quetzalfield.decision.CheapestSufficientRouteChooser
import io.quetzalfield.decision.ExpectedFinishRunnerChooser
import io.quetzalfield.decision.ExplorationPlan
import io.quetzalfield.decision.FixedCascadeRouteChooser
import io.quetzalfield.decision.LearnedLatencyEstimates
import io.quetzalfield.decision.LearningRouting
import io.quetzalfield.decision.RatedAnswer
import io.quetzalfield.decision.RolloutRouteChooser
import io.quetzalfield.decision.RouteChooser
import io.quetzalfield.decision.SingleVersionRouteChooser
import io.quetzalfield.decision.VersionLatency
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.ModelVersionReference

/**
 * The policies that can be replayed.
 *
 * @property label name on the command line and in reports.
 */
public enum class NamedPolicy(public val label: String, internal val create: (PolicyContext) -> ReplayPolicy) {
    /** The policy of the entries without admission control. */
    CASCADE("cascade", ::cascade),

    /** The policy of the entries with admission control by allowance, deadline and fair share. */
    ADMITTED_CASCADE("admitted-cascade", ::admittedCascade),

    /** Always the best version. */
    ALWAYS_BEST("always-best", { baseline(it, SingleVersionRouteChooser.Best) }),

    /** Always the cheapest version. */
    ALWAYS_CHEAPEST("always-cheapest", { baseline(it, SingleVersionRouteChooser.Cheapest) }),

    /** The cheapest version, then the best version if the score of the answer is below 0.5. */
    FIXED_CASCADE("fixed-cascade", { baseline(it, FixedCascadeRouteChooser(AcceptanceGate(0.5, tokens = 24))) }),

    /** One version per plan, chosen by the priors of the lists. */
    DIRECT_PER_PLAN("direct-per-plan", { baseline(it, CheapestSufficientRouteChooser()) }),

    /** The route choice of the entries with the true pass rates, at the same confidence that a window is on target. */
    ORACLE("oracle", { oracle(it, windowConfidence = 0.99) }),

    /** The route choice of the entries with the true pass rates, meeting the quality target only on average. */
    ORACLE_ON_AVERAGE("oracle-on-average", { oracle(it, windowConfidence = 0.5) }),
    ;

    public companion object {
        /** The policy with the [label]; `null` when there is none. */
        public fun of(label: String): NamedPolicy? = entries.firstOrNull { it.label == label }
    }
}

private fun settings(context: PolicyContext) = CascadeSettings(context.trace.header.deployment.weights)

private fun runnerChooser(context: PolicyContext) = ExpectedFinishRunnerChooser(random = context.random)

private fun baseline(context: PolicyContext, chooser: RouteChooser): ReplayPolicy =
    ReplayPolicy(routes = RolloutRouteChooser(chooser, context.random), runners = runnerChooser(context))

private fun cascade(context: PolicyContext): ReplayPolicy {
    val routing = LearningRouting(settings(context), context.random, context.timeSource)
    return ReplayPolicy(
        routes = routing.chooser,
        runners = runnerChooser(context),
        feedback = LearningFeedback(routing, RolloutStops()),
    )
}

private fun admittedCascade(context: PolicyContext): ReplayPolicy {
    val routing = LearningRouting(settings(context), context.random, context.timeSource)
    return ReplayPolicy(
        routes = routing.chooser,
        runners = runnerChooser(context),
        feedback = LearningFeedback(routing, RolloutStops()),
        admission = FairShareAdmission(context, routing.latencies),
    )
}

private class LearningFeedback(private val routing: LearningRouting, private val stops: RolloutStops) :
    PolicyFeedback {
    override fun onLists(snapshot: ListsSnapshot) {
        stops.onLists(snapshot)
    }

    override fun onScore(version: ModelVersionReference, kind: String, score: Double) {
        routing.qualities.recordScore(version, kind, score)
    }

    override fun onLatency(version: ModelVersionReference, latency: VersionLatency) {
        routing.latencies.record(version, latency)
    }

    override fun onRating(answer: ReplayedAnswer, passed: Boolean) {
        val rated = RatedAnswer(answer.version, answer.kind, passed, answer.score, answer.escalation)
        routing.qualities.recordRating(rated)
        stops.onRating(answer.version, passed)
    }

    override fun stoppedVersions(): Set<ModelVersionReference> = stops.stoppedVersions()
}

private fun oracle(context: PolicyContext, windowConfidence: Double): ReplayPolicy {
    val estimates = OracleEstimates(context.trace, context.now)
    val latencies = LearnedLatencyEstimates()
    val settings = settings(context).copy(windowConfidence = windowConfidence, exploration = ExplorationPlan.None)
    val chooser = CascadeRouteChooser(settings, estimates, latencies, context.random)
    val feedback = object : PolicyFeedback {
        override fun onLatency(version: ModelVersionReference, latency: VersionLatency) {
            latencies.record(version, latency)
        }

        override fun stoppedVersions(): Set<ModelVersionReference> = estimates.badVersions()
    }
    return ReplayPolicy(RolloutRouteChooser(chooser, context.random), runnerChooser(context), feedback)
}
