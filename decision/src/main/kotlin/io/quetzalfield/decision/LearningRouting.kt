package io.quetzalfield.decision

import kotlin.random.Random
import kotlin.time.TimeSource

/**
 * The cascade choice with the estimates that it learns from, as an entry and replay use it.
 *
 * @property chooser chooses the routes.
 * @property qualities takes acceptance scores and ratings.
 * @property latencies takes observed latencies.
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
