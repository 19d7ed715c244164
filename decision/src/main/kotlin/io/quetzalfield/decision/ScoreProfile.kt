package io.quetzalfield.decision

import io.quetzalfield.model.ModelVersionReference
import kotlin.math.min

/** Divides acceptance scores from 0 to 1 into bins of equal width. */
public object ScoreBins {
    /** Number of bins. */
    public const val COUNT: Int = 20

    /** The bin of [score]; scores outside 0 to 1 are assigned to the nearest bin. */
    public fun binOf(score: Double): Int = min((score * COUNT).toInt(), COUNT - 1).coerceAtLeast(0)

    /** The lowest score in [bin]. */
    public fun lowerEdge(bin: Int): Double = bin.toDouble() / COUNT
}

/**
 * Estimates of a version's answers to one kind of request, by bin of the acceptance score. The arrays have
 * [ScoreBins.COUNT] elements and must not be modified.
 *
 * @property frequencies share of answers whose score is in the bin; the sum is 1.
 * @property passRates estimated pass rate of the answers in the bin.
 * @property variances variance of the estimate of each pass rate.
 */
public class ScoreProfile(
    public val frequencies: DoubleArray,
    public val passRates: DoubleArray,
    public val variances: DoubleArray,
) {
    /** The estimated pass rate over all scores. */
    public val passRate: Double = frequencies.indices.sumOf { frequencies[it] * passRates[it] }

    /** The variance of the estimate [passRate]. */
    public val variance: Double =
        frequencies.indices.sumOf { frequencies[it] * frequencies[it] * variances[it] }
}

/** Provides the estimates by which routes of one or two stages are evaluated. */
public interface CascadeEstimates {
    /** The profile of [version]'s answers to requests of [kind]; [prior] is the pass rate assumed without evidence. */
    public fun profile(version: ModelVersionReference, kind: String, prior: Double): ScoreProfile

    /**
     * The profile of [second]'s answers to requests of [kind] that [first] has answered with a score in the bin. Its
     * frequencies have no meaning: those of [first] apply.
     */
    public fun escalatedProfile(
        first: ModelVersionReference,
        second: ModelVersionReference,
        kind: String,
        prior: Double,
    ): ScoreProfile
}
