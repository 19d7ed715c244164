package io.quetzalfield.forwarding.choice

import io.quetzalfield.model.ModelId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

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
    /** The latest median pauses, in nanoseconds; older ones are overwritten. */
    private class LatestPauses {
        private val values = LongArray(MAXIMUM_SAMPLES)
        private var recorded = 0
        private var median: Duration? = null

        val count: Int get() = minOf(recorded, MAXIMUM_SAMPLES)

        fun add(pause: Duration) {
            values[recorded++ % MAXIMUM_SAMPLES] = pause.inWholeNanoseconds
            median = null
        }

        /** Not the mean, which a few answers raise that are interrupted to read prompts. */
        fun median(): Duration =
            median ?: values.copyOf(count).apply { sort() }[count / 2].nanoseconds.also { median = it }
    }

    private val latestPauses = HashMap<PaceKey, LatestPauses>()

    /** Records the median pause of an answer by a version that is not being rolled out. */
    public fun record(key: PaceKey, pause: Duration) {
        latestPauses.getOrPut(key) { LatestPauses() }.add(pause)
    }

    /** The pause above which a pause counts as long; `null` until enough answers are recorded. */
    public fun longPause(key: PaceKey): Duration? =
        latestPauses[key]?.takeIf { it.count >= MINIMUM_SAMPLES }?.let { it.median() * LONG_FACTOR }

    private companion object {
        /** Above the spread of typical pauses, and below those of a version that is several times slower. */
        const val LONG_FACTOR = 2

        /** Answers from which the typical pause is known well enough. */
        const val MINIMUM_SAMPLES = 5

        /** Number of latest answers whose median is typical, so that the typical pause follows the load. */
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

    /**
     * Whether all pauses but one are long, whatever the remaining ones will be; after [end], most of the recorded ones.
     * Several of a healthy answer's pauses may be long, as endpoints read prompts between events.
     */
    public val isSlow: Boolean
        get() = longPauses >= SLOW_PAUSES || (isEnded && !isComplete && longPauses * 2 > pauses.size)

    private var isEnded = false

    private val longPauses: Int get() = pauses.count { longPause != null && it > longPause }

    /** Time after the first event at which [isOverdue] is to be read; `null` when the long pause is not known. */
    public val overdueAfter: Duration? get() = longPause?.let { it * (EVALUATED_PAUSES * OVERDUE_FACTOR) }

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

        /** All but one, so that a pause in which the endpoint sends two events at once does not hide a slow answer. */
        const val SLOW_PAUSES = EVALUATED_PAUSES - 1

        /** Long pauses for each evaluated one after which an answer is overdue, as reading prompts may take several. */
        const val OVERDUE_FACTOR = 4
    }
}
