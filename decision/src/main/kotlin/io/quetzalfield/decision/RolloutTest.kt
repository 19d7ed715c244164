package io.quetzalfield.decision

import kotlin.math.ln

/**
 * Why a roll-out is stopped.
 *
 * @property falseStopShare fraction of the allowed false-stop probability that the cause may use. Ratings get most of
 * it, because they are the fewest and their harm is the least visible to callers.
 */
public enum class StopCause(internal val falseStopShare: Double) { RATINGS(0.8), ERRORS(0.1), LATENCY(0.1) }

/** The result of the test of a version that is rolled out. */
public sealed interface RolloutVerdict {
    /** There is not enough evidence that the version is worse. */
    public data object Healthy : RolloutVerdict

    /**
     * The version is worse than the one before it.
     *
     * @property cause the measure by which it is worse.
     * @property logEvidence natural logarithm of the evidence.
     */
    public data class Harmful(val cause: StopCause, val logEvidence: Double) : RolloutVerdict
}

/**
 * Limits of [RolloutTest].
 *
 * @property falseStopProbability bound on the probability that a healthy version is ever stopped, over all causes.
 * @property ratingTolerance decrease of the pass rate that does not count as harm, from 0 to 1.
 * @property errorTolerance increase of the error rate that does not count as harm, from 0 to 1.
 * @property latencyTolerance increase of the share of slow answers that does not count as harm, from 0 to 1.
 */
public data class RolloutLimits(
    val falseStopProbability: Double = 0.01,
    val ratingTolerance: Double = 0.02,
    val errorTolerance: Double = 0.02,
    val latencyTolerance: Double = 0.05,
)

/**
 * The rates that are expected of the version before, from the operators' lists and from experience.
 *
 * @property passRate share of rated answers that pass, from 0 to 1.
 * @property errorRate share of attempts that fail, from 0 to 1.
 * @property slowRate share of answers that are too slow, from 0 to 1.
 */
public data class ExpectedRates(val passRate: Double = 0.8, val errorRate: Double = 0.01, val slowRate: Double = 0.05)

/** Compares a version that is rolled out with the version before it, by ratings, errors and latency. */
public class RolloutTest(limits: RolloutLimits = RolloutLimits()) {
    private val thresholds = StopCause.entries.associateWith { cause ->
        -ln(limits.falseStopProbability * cause.falseStopShare)
    }
    private val ratings = HarmTest(limits.ratingTolerance)
    private val errors = HarmTest(limits.errorTolerance)
    private val latency = HarmTest(limits.latencyTolerance)

    /** Returns the verdict on [new]. May be called after every observation. */
    public fun evaluate(
        new: RolloutObservations,
        baseline: RolloutObservations,
        expected: ExpectedRates = ExpectedRates(),
    ): RolloutVerdict {
        for (cause in StopCause.entries) {
            val evidence = logEvidence(cause, new, baseline, expected)
            if (evidence >= thresholds.getValue(cause)) return RolloutVerdict.Harmful(cause, evidence)
        }
        return RolloutVerdict.Healthy
    }

    private fun logEvidence(
        cause: StopCause,
        new: RolloutObservations,
        baseline: RolloutObservations,
        expected: ExpectedRates,
    ): Double = when (cause) {
        StopCause.RATINGS ->
            ratings.logEvidence(new.failedRatings(), baseline.failedRatings(), 1.0 - expected.passRate)

        StopCause.ERRORS ->
            errors.logEvidence(new.failedAttempts(), baseline.failedAttempts(), expected.errorRate)

        StopCause.LATENCY ->
            latency.logEvidence(new.slowAnswers(), baseline.slowAnswers(), expected.slowRate)
    }

    private fun RolloutObservations.failedRatings() = HarmCount(rated, rated - passed)

    private fun RolloutObservations.failedAttempts() = HarmCount(answers + errors, errors)

    private fun RolloutObservations.slowAnswers() = HarmCount(timed, slow)
}
