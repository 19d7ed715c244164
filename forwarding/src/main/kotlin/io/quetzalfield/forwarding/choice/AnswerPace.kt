package io.quetzalfield.forwarding.choice

import io.quetzalfield.model.ModelId
import kotlin.time.Duration

/** Answers whose speed can be compared: those of one route by one model. */
public data class PaceKey(val route: String, val model: ModelId?)

/**
 * The usual pause between two events of streams, against which the versions of a service are compared. Used on the event
 * loop only.
 *
 * Load pattern: a bad version is several times slower than the one before, for a part of its requests, and ends them so
 * late that whole answers tell of it after the roll-out is over. Events come at a steady pace, so a few pauses tell. The
 * time to the first event tells less: it depends on the prompt and on what the endpoint holds of it, which is nothing on
 * a new version's endpoints.
 */
public class AnswerPace {
    private class Usual(var pause: Duration, var samples: Int)

    private val usual = HashMap<PaceKey, Usual>()

    /** Notes the mean pause of an answer by a version that is not being rolled out. */
    public fun note(key: PaceKey, pause: Duration) {
        val known = usual.getOrPut(key) { Usual(pause, samples = 0) }
        known.samples++
        known.pause += (pause - known.pause) / minOf(known.samples, MOST_SAMPLES)
    }

    /** The mean pause above which an answer is slow; `null` until enough answers are known. */
    public fun slowPause(key: PaceKey): Duration? =
        usual[key]?.takeIf { it.samples >= FEWEST_SAMPLES }?.let { it.pause * SLOW_FACTOR }

    public companion object {
        /** Pauses of one answer that are looked at: enough to even out a prompt that is read between them. */
        public const val JUDGED_PAUSES: Int = 4

        /** Between the spread of usual answers and the several times of a slow version. */
        private const val SLOW_FACTOR = 3

        /** Answers by which an instance knows the usual pause well enough. */
        private const val FEWEST_SAMPLES = 5

        /** Answers after which older ones weigh less, so that the pace follows the load. */
        private const val MOST_SAMPLES = 50
    }
}
