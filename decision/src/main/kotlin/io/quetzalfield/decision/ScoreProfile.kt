package io.quetzalfield.decision

import io.quetzalfield.model.ModelVersionReference
import kotlin.math.min

/** The equal bins into which acceptance scores from 0 to 1 are sorted. */
public object ScoreBins {
    public const val COUNT: Int = 20

    /** The bin of [score]; scores outside 0 to 1 fall into the nearest bin. */
    public fun binOf(score: Double): Int = min((score * COUNT).toInt(), COUNT - 1).coerceAtLeast(0)

    /** The least score that falls into [bin]. */
    public fun lowerEdge(bin: Int): Double = bin.toDouble() / COUNT
}

/**
 * What is thought of a version's answers to one kind of request, by bin of the acceptance score. The arrays have
 * [ScoreBins.COUNT] elements and must not be changed.
 *
 * @property frequencies share of answers whose score falls into the bin; the sum is 1.
 * @property passRates estimated pass rate of the answers in the bin.
 * @property variances variance of the estimate of each pass rate.
 */
public class ScoreProfile(
    public val frequencies: DoubleArray,
    public val passRates: DoubleArray,
    public val variances: DoubleArray,
) {
    /** The estimated pass rate over all scores. */
    public val passRate: Double get() = frequencies.indices.sumOf { frequencies[it] * passRates[it] }

    /** The variance of the estimate [passRate]. */
    public val variance: Double
        get() = frequencies.indices.sumOf { frequencies[it] * frequencies[it] * variances[it] }
}

/** Estimates from which routes of one or two stages are weighed. */
public interface CascadeEstimates {
    /** The profile of [version]'s answers to requests of [kind]; [prior] is the pass rate where nothing was learnt. */
    public fun profile(version: ModelVersionReference, kind: String, prior: Double): ScoreProfile

    /**
     * The profile of [second]'s answers to requests of [kind] that [first] has answered with a score in the bin. Its
     * frequencies are of no meaning: those of [first] apply.
     */
    public fun escalatedProfile(
        first: ModelVersionReference,
        second: ModelVersionReference,
        kind: String,
        prior: Double,
    ): ScoreProfile
}
