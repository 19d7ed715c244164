package io.quetzalfield.decision

import kotlin.math.ln
import kotlin.math.roundToLong

/** Number of [bad] outcomes among [trials]. */
public data class HarmCount(val trials: Long, val bad: Long) {
    init {
        require(bad in 0..trials) { "bad is $bad of $trials; allowed: 0 to the number of trials" }
    }

    internal val good: Long get() = trials - bad

    internal val rate: Double get() = if (trials == 0L) 0.0 else bad.toDouble() / trials
}

/**
 * Sequential test of whether bad outcomes are more frequent with a new version than with the version before it.
 *
 * The evidence is an e-process for the hypothesis "the new version's rate is at most the baseline's plus [tolerance]":
 * the Beta-mixture likelihood of both series (Robbins, "Statistical methods related to the law of the iterated
 * logarithm", 1970) over the largest likelihood that the hypothesis allows (Wasserman, Ramdas and Balakrishnan,
 * "Universal inference", 2020). By Ville's inequality the evidence of a healthy version ever exceeds `1 / α` with
 * probability at most `α`, however often it is evaluated, so the test may be evaluated after every answer and stopped
 * at any time. It depends on sums only, so observations may arrive in any order and from any entry.
 *
 * The mixture for the baseline is centred on its expected rate. A wrong expectation delays a stop, but never makes
 * false stops more likely. The series of the baseline may start before the roll-out; the longer it is, the sooner harm
 * is detected.
 *
 * @param tolerance increase of the rate that does not count as harm, from 0 to 1.
 * @param expectationWeight number of observations that the expected rate of the baseline counts as.
 */
public class HarmTest(private val tolerance: Double, private val expectationWeight: Long = 40) {
    /**
     * Natural logarithm of the evidence that [new] is worse than [baseline] by more than the tolerance.
     *
     * @param expectedRate the baseline's rate that is expected beforehand, from 0 to 1.
     */
    public fun logEvidence(new: HarmCount, baseline: HarmCount, expectedRate: Double): Double {
        if (new.trials == 0L || new.rate <= baseline.rate + tolerance) return 0.0
        val expectedBad = (expectedRate * expectationWeight).roundToLong()
        val expectation = HarmCount(expectationWeight, expectedBad)
        val mixture = logMixture(new, HarmCount(0, 0)) + logMixture(baseline, expectation)
        return mixture - largestNullLogLikelihood(new, baseline)
    }

    /** The largest log likelihood under the hypothesis. It lies on the boundary, where it is concave in the rate. */
    private fun largestNullLogLikelihood(new: HarmCount, baseline: HarmCount): Double {
        var low = SMALLEST_RATE
        var high = 1.0 - tolerance - SMALLEST_RATE
        repeat(SEARCH_STEPS) {
            val third = (high - low) / SEARCH_PARTS
            val lower = low + third
            val upper = high - third
            if (nullLogLikelihood(lower, new, baseline) < nullLogLikelihood(upper, new, baseline)) {
                low = lower
            } else {
                high = upper
            }
        }
        return nullLogLikelihood((low + high) / 2, new, baseline)
    }

    private fun nullLogLikelihood(rate: Double, new: HarmCount, baseline: HarmCount): Double =
        logLikelihood(baseline, rate) + logLikelihood(new, rate + tolerance)

    private fun logLikelihood(count: HarmCount, rate: Double): Double =
        count.bad * ln(rate) + count.good * ln(1.0 - rate)

    /** Logarithm of the likelihood of [count] averaged over the rates, weighted by their density under [prior]. */
    private fun logMixture(count: HarmCount, prior: HarmCount): Double {
        val posterior = HarmCount(count.trials + prior.trials, count.bad + prior.bad)
        return logBeta(posterior) - logBeta(prior)
    }

    private fun logBeta(count: HarmCount): Double =
        logFactorial(count.bad) + logFactorial(count.good) - logFactorial(count.trials + 1)

    private companion object {
        const val SMALLEST_RATE = 1e-9
        const val SEARCH_PARTS = 3
        const val SEARCH_STEPS = 80
    }
}

private const val TABLE_SIZE = 256

private val LogFactorials: DoubleArray = DoubleArray(TABLE_SIZE).also { table ->
    for (number in 1 until TABLE_SIZE) table[number] = table[number - 1] + ln(number.toDouble())
}

/** The logarithm of the factorial of [number], from a table or, beyond it, by Stirling's series. */
internal fun logFactorial(number: Long): Double {
    if (number < TABLE_SIZE) return LogFactorials[number.toInt()]
    val value = number.toDouble()
    return value * ln(value) - value + ln(2 * Math.PI * value) / 2 + 1 / (STIRLING_DIVISOR * value)
}

private const val STIRLING_DIVISOR = 12
