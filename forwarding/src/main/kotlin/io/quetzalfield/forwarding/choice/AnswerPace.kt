package io.quetzalfield.forwarding.choice

import io.quetzalfield.model.ModelId
import kotlin.time.Duration

/** Answers whose speed can be compared: those of one route by one model. */
public data class PaceKey(val route: String, val model: ModelId?)

/**
 * The usual pause between two events of streams, against which the versions of a service are compared. Used on the
 * event loop only.
 *
 * Load pattern: a bad version is several times slower than the one before, for a part of its requests, and ends them so
 * late that whole answers tell of it after the roll-out is over. Events come at a steady pace, broken by the prompts
 * that the endpoint reads between them, so the middle one of a few pauses tells. The time to the first event tells
 * less: it depends on the prompt and on what the endpoint holds of it, which is nothing on a new version's endpoints.
 */
public class AnswerPace {
    private class Usual(var pause: Duration, var samples: Int)

    private val usual = HashMap<PaceKey, Usual>()

    /** Notes the middle pause of an answer by a version that is not being rolled out. */
    public fun note(key: PaceKey, pause: Duration) {
        val known = usual.getOrPut(key) { Usual(pause, samples = 0) }
        known.samples++
        known.pause += (pause - known.pause) / minOf(known.samples, MOST_SAMPLES)
    }

    /** The pause above which a pause is long; `null` until enough answers are known. */
    public fun longPause(key: PaceKey): Duration? =
        usual[key]?.takeIf { it.samples >= FEWEST_SAMPLES }?.let { it.pause * LONG_FACTOR }

    private companion object {
        /** Between the spread of usual pauses and the several times of a slow version. */
        const val LONG_FACTOR = 4

        /** Answers by which an instance knows the usual pause well enough. */
        const val FEWEST_SAMPLES = 5

        /** Answers after which older ones weigh less, so that the pace follows the load. */
        const val MOST_SAMPLES = 50
    }
}

/**
 * Judges the pace of one answer by the first pauses between its events, as soon as the middle one is known.
 *
 * @param longPause pause above which one is long; `null` when that is not known, and the answer counts as usual.
 */
public class PauseJudge(private val longPause: Duration?) {
    private val pauses = ArrayList<Duration>(JUDGED_PAUSES)

    /** The middle pause of those that were noted; `null` without any. */
    public val middle: Duration? get() = pauses.sorted().getOrNull(pauses.size / 2)

    /** Whether the pauses noted tell enough; no more of them are needed then. */
    public val isComplete: Boolean get() = pauses.size == JUDGED_PAUSES

    /** Whether most of the pauses, also of those to come, are long. */
    public val isSlow: Boolean get() = longPauses > JUDGED_PAUSES / 2 || (longPauses * 2 > pauses.size && isEnded)

    private var isEnded = false

    private val longPauses: Int get() = pauses.count { longPause != null && it > longPause }

    /** Time after the first event at which [isOverdue] tells; `null` when no pause is known to be long. */
    public val patience: Duration? get() = longPause?.let { it * (JUDGED_PAUSES * 2) }

    /** Whether fewer than half of the pauses have come, which is slow after [patience]. */
    public val isOverdue: Boolean get() = pauses.size <= JUDGED_PAUSES / 2

    /** Notes one more pause. */
    public fun note(pause: Duration) {
        if (!isComplete) pauses += pause
    }

    /** The answer has ended: what is known has to do. */
    public fun end() {
        isEnded = true
    }

    private companion object {
        /** Odd, so that there is a middle one; fewer are taken up by the prompts that are read between two events. */
        const val JUDGED_PAUSES = 5
    }
}
