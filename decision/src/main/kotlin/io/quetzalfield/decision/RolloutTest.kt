package io.quetzalfield.decision

import kotlin.math.ln

/**
 * Why a roll-out is stopped.
 *
 * @property falseStopShare part of the allowed false-stop probability that the cause may spend. Ratings get most of
 * it, as they are the fewest and their harm is the least visible to callers.
 */
public enum class StopCause(internal val falseStopShare: Double) { RATINGS(0.8), ERRORS(0.1), LATENCY(0.1) }

/** What the observations say of a version that is rolled out. */
public sealed interface RolloutVerdict {
    /** Nothing speaks against the version. */
    public data object Healthy : RolloutVerdict

    /** The version is worse than the one before. */
    public data class Harmful(val cause: StopCause, val logEvidence: Double) : RolloutVerdict
}

/**
 * Limits of a roll-out's test.
 *
 * @property falseStopProbability bound on the probability that a healthy version is ever stopped, over all causes.
 * @property ratingTolerance fall of the pass rate that is not held against the new version.
 * @property errorTolerance rise of the error rate that is not held against it.
 * @property latencyTolerance rise of the share of slow answers that is not held against it.
 */
public data class RolloutLimits(
    val falseStopProbability: Double = 0.01,
    val ratingTolerance: Double = 0.02,
    val errorTolerance: Double = 0.02,
    val latencyTolerance: Double = 0.05,
)

/**
 * What is expected of the version before, from the operators' lists and from experience.
 *
 * @property passRate share of rated answers that pass.
 */
public data class ExpectedRates(val passRate: Double = 0.8, val errorRate: Double = 0.01, val slowRate: Double = 0.05)

/** Compares a version that is rolled out with the version before, by ratings, errors and latency. */
public class RolloutTest(limits: RolloutLimits = RolloutLimits()) {
    private val thresholds = StopCause.entries.associateWith { cause ->
        -ln(limits.falseStopProbability * cause.falseStopShare)
    }
    private val ratings = HarmTest(limits.ratingTolerance)
    private val errors = HarmTest(limits.errorTolerance)
    private val latency = HarmTest(limits.latencyTolerance)

    /** The verdict on [new]; it may be asked for after every observation. */
    public fun judge(
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
