package io.quetzalfield.steward.rollouts

import io.quetzalfield.model.ModelVersionReference
import kotlinx.serialization.Serializable

/** The prefix of the keys under which the progress of each roll-out is stored. */
public const val ROLLOUT_PREFIX: String = "rollouts/"

/**
 * The current step of a roll-out, stored so that another steward can continue it.
 *
 * @property share share of the model's new sessions, as in the lists.
 * @property startedAtEpochMilliseconds wall-clock time at which the step began.
 * @property ratedAtStart number of ratings of the version that had arrived by then.
 */
@Serializable
public data class RolloutRecord(
    val version: ModelVersionReference,
    val share: Double,
    val startedAtEpochMilliseconds: Long,
    val ratedAtStart: Long,
)
