package io.quetzalfield.forwarding.choice

import io.quetzalfield.decision.RolloutObservations
import io.quetzalfield.decision.StopCause

/**
 * Tells whether a version is too doubtful to be given more.
 *
 * Load pattern: a short ramp or little traffic ends a roll-out before the few answers of a bad version are enough for a
 * test that may be read at any time. To wait costs little, so a doubt takes less evidence: several bad answers, and a
 * share of them well above twice that of the versions before.
 */
public object RolloutDoubt {
    /** What is doubtful of a version with observations [new] beside [baseline]; `null` when nothing is. */
    public fun of(new: RolloutObservations, baseline: RolloutObservations): StopCause? = when {
        isDoubtful(new.errors, new.answers + new.errors, baseline.errors, baseline.answers + baseline.errors) ->
            StopCause.ERRORS

        isDoubtful(new.slow, new.timed, baseline.slow, baseline.timed) -> StopCause.LATENCY

        else -> null
    }

    private fun isDoubtful(bad: Long, trials: Long, baselineBad: Long, baselineTrials: Long): Boolean {
        if (bad < FEWEST_BAD) return false
        val usual = if (baselineTrials == 0L) 0.0 else baselineBad.toDouble() / baselineTrials
        return bad.toDouble() / trials > usual * TIMES_USUAL + MARGIN
    }

    /** Bad answers that are no accident. */
    private const val FEWEST_BAD = 4

    /** A new version has cold endpoints, and its share of bad answers is told from few. */
    private const val TIMES_USUAL = 2
    private const val MARGIN = 0.1
}
