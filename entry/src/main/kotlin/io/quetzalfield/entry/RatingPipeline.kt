package io.quetzalfield.entry

import io.quetzalfield.decision.Escalation
import io.quetzalfield.decision.RatedAnswer
import io.quetzalfield.model.AttemptId
import io.quetzalfield.store.AnswerToRate
import io.quetzalfield.store.Rating
import io.quetzalfield.store.RatingService
import java.util.concurrent.ArrayBlockingQueue

/**
 * The data of an answer that its rating does not contain.
 *
 * @property score the acceptance score; `null` if the engine reported none.
 * @property escalation the previous stage; `null` for a first or only stage.
 */
internal data class AnswerContext(val score: Double? = null, val escalation: Escalation? = null)

/**
 * Submits answers to the rating service and reads ratings from it, without delaying requests: answers wait in a bounded
 * queue. An answer that finds the queue full is dropped and counted.
 *
 * @param onRating called for every rating that the service reports.
 * @param onOwnRating called for the ratings of answers that this entry submitted.
 */
internal class RatingPipeline(
    private val service: RatingService,
    private val metrics: EntryMetrics,
    private val onOwnRating: (Rating) -> Unit,
    private val onRating: (RatedAnswer) -> Unit = {},
    queueCapacity: Int = DEFAULT_QUEUE_CAPACITY,
) {
    private class QueuedAnswer(val answer: AnswerToRate, val context: AnswerContext)

    private val queue = ArrayBlockingQueue<QueuedAnswer>(queueCapacity)
    private val unratedContexts = LinkedHashMap<AttemptId, AnswerContext>()
    private var position = 0L

    /** Queues [answer] without waiting; drops it if the queue is full. */
    fun offer(answer: AnswerToRate, context: AnswerContext = AnswerContext()) {
        if (!queue.offer(QueuedAnswer(answer, context))) metrics.countRatingDropped()
    }

    /** Submits the queued answers in order, and stops at the first one that the service does not accept. */
    fun submitQueued() {
        while (true) {
            val queued = queue.peek() ?: return
            rememberContext(queued)
            if (service.submit(queued.answer).isLeft()) return
            queue.remove()
        }
    }

    /** Reads the ratings that the service has published since the last call. */
    fun readRatings() {
        service.ratingsAfter(position).onRight { ratings -> ratings.forEach(::process) }
    }

    private fun process(rating: Rating) {
        position = maxOf(position, rating.position)
        val context = synchronized(unratedContexts) { unratedContexts.remove(rating.attempt) }
        onRating(RatedAnswer(rating.source, rating.kind, rating.passed, context?.score, context?.escalation))
        if (context != null) onOwnRating(rating)
    }

    private fun rememberContext(queued: QueuedAnswer): Unit = synchronized(unratedContexts) {
        unratedContexts[queued.answer.attempt] = queued.context
        if (unratedContexts.size > MAXIMUM_UNRATED_ATTEMPTS) unratedContexts.remove(unratedContexts.keys.first())
    }

    private companion object {
        const val DEFAULT_QUEUE_CAPACITY = 1_024
        const val MAXIMUM_UNRATED_ATTEMPTS = 16_384
    }
}
