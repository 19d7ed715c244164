package io.quetzalfield.forwarding.choice

import io.quetzalfield.model.ModelId
import kotlin.time.Duration

/** Identifies answers whose speed is comparable: those of one model on one route. */
public data class PaceKey(val route: String, val model: ModelId?)

/**
 * Typical pause between two events of a stream, the baseline for comparing the versions of a service. Used on the
 * event loop only.
 *
 * Load pattern: a bad version is several times slower than the previous one for a part of its requests, and finishes
 * them so late that the durations of whole answers are known only after the roll-out is over. Events arrive at a steady
 * pace, interrupted while the endpoint reads other prompts, so the median of a few pauses is representative. The time
 * to the first event is a weaker signal: it depends on the prompt and on how much of it the endpoint has cached, which
 * is nothing at a new version's endpoints.
 */
public class AnswerPace {
    private class TypicalPause(var pause: Duration, var samples: Int)

    private val typicalPauses = HashMap<PaceKey, TypicalPause>()

    /** Records the median pause of an answer by a version that is not being rolled out. */
    public fun record(key: PaceKey, pause: Duration) {
        val known = typicalPauses.getOrPut(key) { TypicalPause(pause, samples = 0) }
        known.samples++
        known.pause += (pause - known.pause) / minOf(known.samples, MAXIMUM_SAMPLES)
    }

    /** The pause above which a pause counts as long; `null` until enough answers are recorded. */
    public fun longPause(key: PaceKey): Duration? =
        typicalPauses[key]?.takeIf { it.samples >= MINIMUM_SAMPLES }?.let { it.pause * LONG_FACTOR }

    private companion object {
        /** Above the spread of typical pauses, and below the several times longer pauses of a slow version. */
        const val LONG_FACTOR = 4

        /** Answers from which the typical pause is known well enough. */
        const val MINIMUM_SAMPLES = 5

        /** Answers after which older ones lose weight, so that the typical pause follows the load. */
        const val MAXIMUM_SAMPLES = 50
    }
}

/**
 * Classifies the pace of one answer by the first pauses between its events, as soon as their median is known.
 *
 * @param longPause pause above which a pause counts as long; `null` when it is not known, and no answer counts as slow.
 */
public class PauseClassifier(private val longPause: Duration?) {
    private val pauses = ArrayList<Duration>(EVALUATED_PAUSES)

    /** Median of the recorded pauses; `null` before the first. */
    public val median: Duration? get() = pauses.sorted().getOrNull(pauses.size / 2)

    /** Whether enough pauses are recorded; further ones are ignored. */
    public val isComplete: Boolean get() = pauses.size == EVALUATED_PAUSES

    /** Whether most pauses are long, whatever the remaining ones will be; after [end], most of the recorded ones. */
    public val isSlow: Boolean get() = longPauses > EVALUATED_PAUSES / 2 || (longPauses * 2 > pauses.size && isEnded)

    private var isEnded = false

    private val longPauses: Int get() = pauses.count { longPause != null && it > longPause }

    /** Time after the first event at which [isOverdue] is to be read; `null` when the long pause is not known. */
    public val overdueAfter: Duration? get() = longPause?.let { it * (EVALUATED_PAUSES * 2) }

    /** Whether fewer than half of the pauses are recorded, which means a slow answer after [overdueAfter]. */
    public val isOverdue: Boolean get() = pauses.size <= EVALUATED_PAUSES / 2

    /** Records one more pause. */
    public fun record(pause: Duration) {
        if (!isComplete) pauses += pause
    }

    /** Marks the answer as ended, so that [isSlow] goes by the recorded pauses alone. */
    public fun end() {
        isEnded = true
    }

    private companion object {
        /** Odd, so that the median is one of them; fewer could all be pauses in which the endpoint reads prompts. */
        const val EVALUATED_PAUSES = 5
    }
}
