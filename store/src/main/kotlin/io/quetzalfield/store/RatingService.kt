package io.quetzalfield.store

import arrow.core.Either
import io.quetzalfield.model.AttemptId
import io.quetzalfield.model.ModelVersionReference
import kotlinx.serialization.Serializable

/** An answer submitted for rating. */
@Serializable
public data class AnswerToRate(
    val attempt: AttemptId,
    val source: ModelVersionReference,
    val kind: String,
    val question: String,
    val answer: String,
)

/**
 * The rating of one answer. Ratings are delayed, and some never arrive.
 *
 * @property position position in the service's sequence of ratings, from 1.
 * @property passed whether the answer is good enough.
 */
@Serializable
public data class Rating(
    val position: Long,
    val attempt: AttemptId,
    val source: ModelVersionReference,
    val kind: String,
    val passed: Boolean,
)

/** Why a call to the rating service failed. */
public data class RatingError(val message: String)

/** The platform's service that rates answers. */
public interface RatingService {
    /** Submits an answer; its rating arrives later through [ratingsAfter], or never. */
    public fun submit(answer: AnswerToRate): Either<RatingError, Unit>

    /** The ratings after [position], ordered by position. */
    public fun ratingsAfter(position: Long): Either<RatingError, List<Rating>>
}
