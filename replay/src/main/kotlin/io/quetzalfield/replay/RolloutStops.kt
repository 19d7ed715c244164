package io.quetzalfield.replay

import io.quetzalfield.decision.Rollout
import io.quetzalfield.decision.RolloutObservations
import io.quetzalfield.decision.RolloutTest
import io.quetzalfield.decision.RolloutVerdict
import io.quetzalfield.decision.rolloutsOf
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.ModelVersionReference

/** Stops a version being rolled out as soon as the roll-out test finds it worse than its baseline version. */
internal class RolloutStops(private val test: RolloutTest = RolloutTest()) {
    private class RolloutSeries(val rollout: Rollout) {
        var new = RolloutObservations()
        var baseline = RolloutObservations()
    }

    private val series = LinkedHashMap<ModelVersionReference, RolloutSeries>()
    private val stopped = LinkedHashSet<ModelVersionReference>()

    fun stoppedVersions(): Set<ModelVersionReference> = stopped

    fun onLists(snapshot: ListsSnapshot) {
        val rollouts = rolloutsOf(snapshot)
        series.keys.retainAll(rollouts.map { it.version }.toSet())
        for (rollout in rollouts) series.getOrPut(rollout.version) { RolloutSeries(rollout) }
    }

    fun onRating(version: ModelVersionReference, passed: Boolean) {
        val observation = RolloutObservations(answers = 1, rated = 1, passed = if (passed) 1 else 0)
        for (current in series.values) {
            if (version == current.rollout.baseline) current.baseline += observation
            if (version == current.rollout.version) current.new += observation
            if (test.evaluate(current.new, current.baseline) is RolloutVerdict.Harmful) {
                stopped +=
                    current.rollout.version
            }
        }
    }
}
