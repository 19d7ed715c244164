package io.quetzalfield.entry

import io.quetzalfield.decision.RolloutObservations
import io.quetzalfield.model.ModelVersionReference
import java.util.concurrent.ConcurrentHashMap

/** What this entry has seen of each version's answers since it started. */
internal class ObservationBook {
    private val sums = ConcurrentHashMap<ModelVersionReference, RolloutObservations>()

    /** All sums, by version. */
    val all: Map<ModelVersionReference, RolloutObservations> get() = sums.toMap()

    fun of(version: ModelVersionReference): RolloutObservations = sums[version] ?: RolloutObservations()

    fun noteAnswer(version: ModelVersionReference, isSlow: Boolean) {
        add(version, RolloutObservations(answers = 1, slow = if (isSlow) 1 else 0))
    }

    fun noteError(version: ModelVersionReference) {
        add(version, RolloutObservations(errors = 1))
    }

    fun noteRating(version: ModelVersionReference, hasPassed: Boolean) {
        add(version, RolloutObservations(rated = 1, passed = if (hasPassed) 1 else 0))
    }

    /** Begins anew with [version], whose roll-out has ended. */
    fun forget(version: ModelVersionReference) {
        sums.remove(version)
    }

    private fun add(version: ModelVersionReference, observed: RolloutObservations) {
        sums.merge(version, observed, RolloutObservations::plus)
    }
}
