package io.quetzalfield.forwarding.choice

import io.quetzalfield.decision.RolloutObservations
import io.quetzalfield.decision.StopCause

/**
 * Decides whether a version is too doubtful to get a larger share.
 *
 * Load pattern: with a short ramp or little traffic a roll-out ends before the few answers of a bad version are enough
 * for a test that may be read at any time. Waiting costs little, so doubt needs less evidence: several bad answers, and
 * a share of them well above twice that of the previous versions.
 */
public object RolloutDoubt {
    /** Returns why a version with observations [new] is doubtful compared with [baseline]; `null` if it is not. */
    public fun of(new: RolloutObservations, baseline: RolloutObservations): StopCause? = when {
        isDoubtful(new.errors, new.answers + new.errors, baseline.errors, baseline.answers + baseline.errors) ->
            StopCause.ERRORS

        isDoubtful(new.slow, new.timed, baseline.slow, baseline.timed) -> StopCause.LATENCY

        else -> null
    }

    private fun isDoubtful(bad: Long, trials: Long, baselineBad: Long, baselineTrials: Long): Boolean {
        if (bad < MINIMUM_BAD) return false
        val baselineShare = if (baselineTrials == 0L) 0.0 else baselineBad.toDouble() / baselineTrials
        return bad.toDouble() / trials > baselineShare * BASELINE_FACTOR + MARGIN
    }

    /** Fewer bad answers may be chance. */
    private const val MINIMUM_BAD = 4

    /** A new version has cold endpoints, and its share of bad answers is estimated from few answers. */
    private const val BASELINE_FACTOR = 2
    private const val MARGIN = 0.1
}
