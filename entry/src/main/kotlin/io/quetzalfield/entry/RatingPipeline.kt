package io.quetzalfield.entry

import io.quetzalfield.decision.Escalation
import io.quetzalfield.decision.RatedAnswer
import io.quetzalfield.model.AttemptId
import io.quetzalfield.store.AnswerToRate
import io.quetzalfield.store.Rating
import io.quetzalfield.store.RatingService
import java.util.concurrent.ArrayBlockingQueue

/**
 * What this entry knows of an answer beside its rating.
 *
 * @property score the acceptance score; `null` when the engine reported none.
 * @property escalation the stage before; `null` for a first or only stage.
 */
internal data class AnswerOrigin(val score: Double? = null, val escalation: Escalation? = null)

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
    private val onRating: (RatedAnswer) -> Unit = {},
    queueCapacity: Int = DEFAULT_QUEUE_CAPACITY,
) {
    private class Waiting(val answer: AnswerToRate, val origin: AnswerOrigin)

    private val queue = ArrayBlockingQueue<Waiting>(queueCapacity)
    private val unrated = LinkedHashMap<AttemptId, AnswerOrigin>()
    private var position = 0L

    /** Queues [answer]; never waits. */
    fun offer(answer: AnswerToRate, origin: AnswerOrigin = AnswerOrigin()) {
        if (!queue.offer(Waiting(answer, origin))) metrics.countRatingDropped()
    }

    /** Hands in what is queued, until the service fails to take an answer. */
    fun handIn() {
        while (true) {
            val waiting = queue.peek() ?: return
            remember(waiting)
            if (service.submit(waiting.answer).isLeft()) return
            queue.remove()
        }
    }

    /** Reads the ratings that have come since the last call. */
    fun readRatings() {
        service.ratingsAfter(position).onRight { ratings -> ratings.forEach(::take) }
    }

    private fun take(rating: Rating) {
        position = maxOf(position, rating.position)
        val origin = synchronized(unrated) { unrated.remove(rating.attempt) }
        onRating(RatedAnswer(rating.source, rating.kind, rating.passed, origin?.score, origin?.escalation))
        if (origin != null) onOwnRating(rating)
    }

    private fun remember(waiting: Waiting): Unit = synchronized(unrated) {
        unrated[waiting.answer.attempt] = waiting.origin
        if (unrated.size > REMEMBERED_ATTEMPTS) unrated.remove(unrated.keys.first())
    }

    private companion object {
        const val DEFAULT_QUEUE_CAPACITY = 1_024
        const val REMEMBERED_ATTEMPTS = 16_384
    }
}
