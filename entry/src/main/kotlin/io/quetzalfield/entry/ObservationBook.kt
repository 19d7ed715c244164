package io.quetzalfield.entry

import io.quetzalfield.decision.RolloutObservations
import io.quetzalfield.model.ModelVersionReference
import java.util.concurrent.ConcurrentHashMap

/** The observations that this entry has made of each version's answers since it started. */
internal class ObservationBook {
    private val sums = ConcurrentHashMap<ModelVersionReference, RolloutObservations>()

    /** The observations of all versions. */
    val all: Map<ModelVersionReference, RolloutObservations> get() = sums.toMap()

    /** Returns the observations of [version]. */
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

    /** Discards the observations of [version], whose roll-out has ended. */
    fun forget(version: ModelVersionReference) {
        sums.remove(version)
    }

    private fun add(version: ModelVersionReference, observed: RolloutObservations) {
        sums.merge(version, observed, RolloutObservations::plus)
    }
}
