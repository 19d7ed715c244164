package io.quetzalfield.steward.rollouts

import io.quetzalfield.model.ModelVersionReference
import kotlinx.serialization.Serializable

/** The key prefix under which the progress of each roll-out is kept. */
public const val ROLLOUT_PREFIX: String = "rollouts/"

/**
 * The step that a roll-out is in, so that another steward can go on with it.
 *
 * @property share share of the model's new sessions, as in the lists.
 * @property startedAtEpochMilliseconds wall-clock time at which the step began.
 * @property ratedAtStart ratings of the version that had come by then.
 */
@Serializable
public data class RolloutRecord(
    val version: ModelVersionReference,
    val share: Double,
    val startedAtEpochMilliseconds: Long,
    val ratedAtStart: Long,
)
