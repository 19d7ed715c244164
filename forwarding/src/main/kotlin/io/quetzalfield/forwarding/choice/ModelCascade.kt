package io.quetzalfield.forwarding.choice

import io.quetzalfield.model.ModelId
import kotlin.time.Duration

/**
 * The moment at which a model's first answer is judged.
 *
 * @property confidence the model's opinion of its answer, from 0 to 100; `null` when it gave none.
 * @property occupancy share of the pool's places that are taken, from 0; above 1 requests wait.
 * @property remaining what is left of the time within which the answer may start and still be on time.
 * @property expectedStart time after which a second answer is expected to start.
 */
public data class FirstAnswer(
    val confidence: Int?,
    val occupancy: Double,
    val remaining: Duration,
    val expectedStart: Duration,
)

/** Chooses models on routes that leave the choice to the router. */
public interface ModelCascade {
    /** The model to ask first, of [models] from small to large. */
    public fun first(models: List<ModelId>, occupancy: Double): ModelId

    /** The model to ask instead of passing on the answer of [asked]; `null` to pass it on. */
    public fun next(models: List<ModelId>, asked: ModelId, answer: FirstAnswer): ModelId?
}

/**
 * Asks the smallest model first, and the largest one when the smallest has little confidence.
 *
 * Load pattern: the largest model for all overloads the pool even on a quiet day, and the smallest for all answers too
 * many requests badly. The confidence below which an answer is asked for again falls as the pool fills, since a good
 * answer that comes late is worth less than a fair one in time.
 *
 * @param idleThreshold confidence below which an answer is asked for again while the pool is nearly empty.
 * @param busyThreshold the same at [fullOccupancy] and above.
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
        return largest.takeIf { confidence < thresholdAt(answer.occupancy) }
    }

    /** The confidence below which an answer is asked for again. */
    public fun thresholdAt(occupancy: Double): Int {
        val fill = (occupancy / fullOccupancy).coerceIn(0.0, 1.0)
        return (idleThreshold + (busyThreshold - idleThreshold) * fill).toInt()
    }

    private companion object {
        /** From trials on quiet days: best of 35, 50, 60 and 70. */
        const val IDLE_THRESHOLD = 50

        /** From trials at the highest load: 35 was better than 50. */
        const val BUSY_THRESHOLD = 20

        /** Share of places taken above which batches slow down so far that second answers come late. */
        const val FULL_OCCUPANCY = 0.6
    }
}
