package io.quetzalfield.decision

import kotlin.math.ln

/**
 * Sequential probability ratio test (Wald, "Sequential tests of statistical hypotheses", 1945) of whether bad outcomes
 * are about as frequent with a new version as with the version before it, rather than more frequent by [increase].
 *
 * Unlike the absence of evidence in [HarmTest], its result is evidence for a version: it is 0 without an outcome, and
 * grows with each good one. A version that is worse by [increase] reaches `ln(1 / p)` with a probability of about `p`.
 *
 * @param increase increase of the rate of bad outcomes, from 0 to 1, that a version must be shown not to have.
 * @param margin increase of the rate, from 0 to 1, that a sound version may have, as its endpoints are cold and the
 * rate of the baseline is estimated from few answers.
 * @param expectationWeight number of observations that the expected rate of the baseline counts as.
 */
public class SoundnessTest(
    private val increase: Double = 0.3,
    private val margin: Double = 0.04,
    private val expectationWeight: Int = 40,
) {
    /**
     * Natural logarithm of the evidence that [new] is sound; negative if it is more likely worse by [increase].
     *
     * @param expectedRate the rate of [baseline] that is expected beforehand, from 0 to 1.
     */
    public fun logEvidence(new: HarmCount, baseline: HarmCount, expectedRate: Double): Double {
        val usual = (baseline.bad + expectedRate * expectationWeight) / (baseline.trials + expectationWeight)
        val soundRate = (usual + margin).coerceAtMost(HIGHEST_RATE - increase)
        val badRate = soundRate + increase
        return new.good * ln((1 - soundRate) / (1 - badRate)) - new.bad * ln(badRate / soundRate)
    }

    private companion object {
        const val HIGHEST_RATE = 0.95
    }
}
