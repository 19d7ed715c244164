package io.quetzalfield.forwarding.choice

import io.quetzalfield.decision.RolloutObservations
import io.quetzalfield.decision.StopCause
import kotlin.math.ln

/**
 * Decides whether a version is too doubtful to get a larger share.
 *
 * Load pattern: with a short ramp or little traffic a roll-out ends before the few answers of a bad version are enough
 * for a test that may be read at any time. Waiting costs little, so doubt needs less evidence: several bad answers, and
 * a share of them well above twice that of the previous versions. Slow answers of a healthy version come in groups,
 * when endpoints read prompts, so they also need a difference that is rare between equally good versions.
 */
public object RolloutDoubt {
    /** Returns why a version with observations [new] is doubtful compared with [baseline]; `null` if it is not. */
    public fun of(new: RolloutObservations, baseline: RolloutObservations): StopCause? = when {
        isDoubtful(new.errors, new.answers + new.errors, baseline.errors, baseline.answers + baseline.errors) ->
            StopCause.ERRORS

        isDoubtful(new.slow, new.timed, baseline.slow, baseline.timed) &&
            isUnlikely(new.slow, new.timed, baseline.slow, baseline.timed) -> StopCause.LATENCY

        else -> null
    }

    private fun isDoubtful(bad: Long, trials: Long, baselineBad: Long, baselineTrials: Long): Boolean {
        if (bad < MINIMUM_BAD) return false
        val baselineShare = if (baselineTrials == 0L) 0.0 else baselineBad.toDouble() / baselineTrials
        return bad.toDouble() / trials > baselineShare * BASELINE_FACTOR + MARGIN
    }

    /** Whether two versions that are equally good rarely differ so much. Without a baseline any difference counts. */
    private fun isUnlikely(bad: Long, trials: Long, baselineBad: Long, baselineTrials: Long): Boolean {
        if (baselineTrials == 0L) return true
        val apart = largestLogLikelihood(bad, trials) + largestLogLikelihood(baselineBad, baselineTrials)
        return apart - largestLogLikelihood(bad + baselineBad, trials + baselineTrials) >= LogLikelihoodRatio
    }

    /** Log likelihood of [bad] among [trials] at the share that makes it the largest. */
    private fun largestLogLikelihood(bad: Long, trials: Long): Double =
        entropyPart(bad, trials) + entropyPart(trials - bad, trials)

    private fun entropyPart(part: Long, trials: Long): Double =
        if (part == 0L) 0.0 else part * ln(part.toDouble() / trials)

    /** Fewer bad answers may be chance. */
    private const val MINIMUM_BAD = 4

    /** A new version has cold endpoints, and its share of bad answers is estimated from few answers. */
    private const val BASELINE_FACTOR = 2
    private const val MARGIN = 0.1

    /** Reached by about one healthy version in 200, as twice the ratio has nearly a chi-squared distribution. */
    private val LogLikelihoodRatio = ln(30.0)
}
