package io.quetzalfield.forwarding.choice

import io.quetzalfield.model.ModelId
import kotlin.time.Duration

/**
 * A model's first answer, and the state of the pool, when the cascade decides whether to pass the answer on.
 *
 * @property confidence confidence that the model states in its answer, from 0 to 100; `null` when it states none.
 * @property occupancy share of the pool's capacity that is in use, from 0; above 1 requests wait.
 * @property remaining time left for the answer to start and still be on time.
 * @property expectedStart time until a second answer is expected to start.
 * @property timeLeft time left until the deadline of the request.
 * @property expectedEnd time until a second answer is expected to end; zero if not known.
 */
public data class FirstAnswer(
    val confidence: Int?,
    val occupancy: Double,
    val remaining: Duration,
    val expectedStart: Duration,
    val timeLeft: Duration = Duration.INFINITE,
    val expectedEnd: Duration = Duration.ZERO,
)

/** Chooses models on routes that leave the choice to the router. */
public interface ModelCascade {
    /** Returns the model to ask first, of [models] from small to large. */
    public fun first(models: List<ModelId>, occupancy: Double): ModelId

    /** Returns the model to ask instead of passing on the answer of [asked]; `null` to pass it on. */
    public fun next(models: List<ModelId>, asked: ModelId, answer: FirstAnswer): ModelId?
}

/**
 * Asks the smallest model first, and then the largest one if the smallest states a low confidence.
 *
 * Load pattern: sending all requests to the largest model overloads the pool even on a quiet day, and the smallest
 * model answers too many requests badly. The confidence below which the largest model is asked falls as the pool fills,
 * since a good answer that is late is worth less than a fair one in time.
 *
 * @param idleThreshold confidence below which the largest model is asked while the pool is nearly empty.
 * @param busyThreshold the same threshold at [fullOccupancy] and above.
 */
public class ConfidenceCascade(
    private val idleThreshold: Int = IDLE_THRESHOLD,
    private val busyThreshold: Int = BUSY_THRESHOLD,
    private val fullOccupancy: Double = FULL_OCCUPANCY,
) : ModelCascade {
    override fun first(models: List<ModelId>, occupancy: Double): ModelId = models.first()

    override fun next(models: List<ModelId>, asked: ModelId, answer: FirstAnswer): ModelId? {
        val largest = models.last()
        val confidence = answer.confidence ?: return null
        if (asked == largest || answer.expectedStart > answer.remaining) return null
        if (answer.expectedEnd > answer.timeLeft) return null
        return largest.takeIf { confidence < thresholdAt(answer.occupancy) }
    }

    /** Returns the confidence below which the largest model is asked, at [occupancy] of the pool. */
    public fun thresholdAt(occupancy: Double): Int {
        val fill = (occupancy / fullOccupancy).coerceIn(0.0, 1.0)
        return (idleThreshold + (busyThreshold - idleThreshold) * fill).toInt()
    }

    private companion object {
        /** On quiet days 50 is better than 35, 60 and 70. */
        const val IDLE_THRESHOLD = 50

        /** At the highest load 35 is better than 50. */
        const val BUSY_THRESHOLD = 20

        /** Occupancy above which batches slow down so far that second answers are late. */
        const val FULL_OCCUPANCY = 0.6
    }
}
