package io.quetzalfield.decision

import kotlin.random.Random
import kotlin.time.TimeSource

/**
 * A route chooser for cascades and roll-outs together with the estimates that it uses; shared by entry and replay.
 *
 * @property chooser the route chooser.
 * @property qualities pass rate estimates, learned from acceptance scores and ratings.
 * @property latencies latency estimates, learned from observed latencies.
 */
public class LearningRouting(
    settings: CascadeSettings,
    random: Random,
    timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    learning: LearningSettings = LearningSettings(),
) {
    public val qualities: LearnedQualityEstimates = LearnedQualityEstimates(learning, timeSource)
    public val latencies: LearnedLatencyEstimates = LearnedLatencyEstimates()
    public val chooser: RouteChooser =
        RolloutRouteChooser(CascadeRouteChooser(settings, qualities, latencies, random), random)
}
