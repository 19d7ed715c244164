package io.quetzalfield.store

import arrow.core.Either
import io.quetzalfield.model.AttemptId
import io.quetzalfield.model.ModelVersionReference
import kotlinx.serialization.Serializable

/** An answer that is handed in to be rated. */
@Serializable
public data class AnswerToRate(
    val attempt: AttemptId,
    val source: ModelVersionReference,
    val kind: String,
    val question: String,
    val answer: String,
)

/**
 * The rating of one answer. Ratings come late, and some never come.
 *
 * @property position place in the service's own order, from 1.
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

/** Why the rating service gave no answer. */
public data class RatingError(val message: String)

/** The platform's service that rates answers. */
public interface RatingService {
    /** Hands in an answer; its rating comes later, through [ratingsAfter], or never. */
    public fun submit(answer: AnswerToRate): Either<RatingError, Unit>

    /** The ratings after [position], in order. */
    public fun ratingsAfter(position: Long): Either<RatingError, List<Rating>>
}
