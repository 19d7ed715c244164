package io.quetzalfield.entry

import io.quetzalfield.model.AttemptId
import io.quetzalfield.platform.AnswerToRate
import io.quetzalfield.platform.Rating
import io.quetzalfield.platform.RatingService
import java.util.concurrent.ArrayBlockingQueue

/**
 * Hands answers in to the rating service and reads ratings from it, apart from the requests: an answer waits in a
 * bounded queue, and is dropped and counted when that is full.
 *
 * @param onRating takes every rating that the service reports.
 * @param onOwnRating takes those of answers that this entry handed in.
 */
internal class RatingPipeline(
    private val service: RatingService,
    private val metrics: EntryMetrics,
    private val onOwnRating: (Rating) -> Unit,
    private val onRating: (Rating) -> Unit = {},
    queueCapacity: Int = DEFAULT_QUEUE_CAPACITY,
) {
    private val queue = ArrayBlockingQueue<AnswerToRate>(queueCapacity)
    private val unrated = LinkedHashSet<AttemptId>()
    private var position = 0L

    /** Queues [answer]; never waits. */
    fun offer(answer: AnswerToRate) {
        if (!queue.offer(answer)) metrics.countRatingDropped()
    }

    /** Hands in what is queued, until the service fails to take an answer. */
    fun handIn() {
        while (true) {
            val answer = queue.peek() ?: return
            remember(answer.attempt)
            if (service.submit(answer).isLeft()) return
            queue.remove()
        }
    }

    /** Reads the ratings that have come since the last call. */
    fun readRatings() {
        service.ratingsAfter(position).onRight { ratings -> ratings.forEach(::take) }
    }

    private fun take(rating: Rating) {
        position = maxOf(position, rating.position)
        onRating(rating)
        if (synchronized(unrated) { unrated.remove(rating.attempt) }) onOwnRating(rating)
    }

    private fun remember(attempt: AttemptId): Unit = synchronized(unrated) {
        unrated += attempt
        if (unrated.size > REMEMBERED_ATTEMPTS) unrated.remove(unrated.first())
    }

    private companion object {
        const val DEFAULT_QUEUE_CAPACITY = 1_024
        const val REMEMBERED_ATTEMPTS = 16_384
    }
}
