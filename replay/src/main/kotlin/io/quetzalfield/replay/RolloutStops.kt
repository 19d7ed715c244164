package io.quetzalfield.replay

import io.quetzalfield.decision.Rollout
import io.quetzalfield.decision.RolloutObservations
import io.quetzalfield.decision.RolloutTest
import io.quetzalfield.decision.RolloutVerdict
import io.quetzalfield.decision.rolloutsOf
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.ModelVersionReference

/** Stops versions that are rolled out as soon as the roll-out's test finds them worse than the version before. */
internal class RolloutStops(private val test: RolloutTest = RolloutTest()) {
    private class Series(val rollout: Rollout) {
        var new = RolloutObservations()
        var baseline = RolloutObservations()
    }

    private val series = LinkedHashMap<ModelVersionReference, Series>()
    private val stopped = LinkedHashSet<ModelVersionReference>()

    fun stoppedVersions(): Set<ModelVersionReference> = stopped

    fun onLists(snapshot: ListsSnapshot) {
        val rollouts = rolloutsOf(snapshot)
        series.keys.retainAll(rollouts.map { it.version }.toSet())
        for (rollout in rollouts) series.getOrPut(rollout.version) { Series(rollout) }
    }

    fun onRating(version: ModelVersionReference, passed: Boolean) {
        val observation = RolloutObservations(answers = 1, rated = 1, passed = if (passed) 1 else 0)
        for (one in series.values) {
            if (version == one.rollout.baseline) one.baseline += observation
            if (version == one.rollout.version) one.new += observation
            if (test.judge(one.new, one.baseline) is RolloutVerdict.Harmful) stopped += one.rollout.version
        }
    }
}
