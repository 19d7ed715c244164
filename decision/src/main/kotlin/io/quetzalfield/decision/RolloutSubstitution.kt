package io.quetzalfield.decision

import io.quetzalfield.model.ModelVersionReference
import kotlin.random.Random

/**
 * Lets a version that is being rolled out stand in for the serving version of its model.
 *
 * The route is chosen by the estimates of the version in place, as the new one has none; in the drawn share of routes
 * the new version then takes its stages. The sequential test of the roll-out guards the quality meanwhile.
 *
 * @property chosenFrom the versions among which the route is chosen.
 */
internal class RolloutSubstitution private constructor(
    val chosenFrom: List<EligibleVersion>,
    private val substitutes: Map<ModelVersionReference, ModelVersionReference>,
) {
    fun apply(stages: List<ModelVersionReference>): List<ModelVersionReference> = stages.map { substitutes[it] ?: it }

    companion object {
        fun draw(eligible: List<EligibleVersion>, random: Random): RolloutSubstitution {
            val rolledOut = eligible.filter { it.version.newSessionShare != null }
            if (rolledOut.isEmpty()) return RolloutSubstitution(eligible, emptyMap())
            val substitutes = HashMap<ModelVersionReference, ModelVersionReference>()
            val withPredecessor = HashSet<EligibleVersion>()
            for (candidate in rolledOut) {
                val predecessor = predecessorOf(candidate, eligible) ?: continue
                withPredecessor += candidate
                if (random.nextDouble() >= (candidate.version.newSessionShare ?: 0.0)) continue
                substitutes[predecessor.reference] = candidate.reference
            }
            return RolloutSubstitution(eligible - withPredecessor, substitutes)
        }

        private fun predecessorOf(candidate: EligibleVersion, eligible: List<EligibleVersion>): EligibleVersion? =
            eligible.lastOrNull {
                it.reference.model == candidate.reference.model && it.version.newSessionShare == null
            }
    }
}
