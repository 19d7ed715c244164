package io.quetzalfield.decision

/** Weighted counts of passed and failed answers by score bin. */
internal class BinnedRatings(
    val passes: DoubleArray = DoubleArray(ScoreBins.COUNT),
    val failures: DoubleArray = DoubleArray(ScoreBins.COUNT),
) {
    fun copy(): BinnedRatings = BinnedRatings(passes.copyOf(), failures.copyOf())

    fun add(bin: Int, passed: Boolean, amount: Double) {
        val counts = if (passed) passes else failures
        counts[bin] += amount
    }

    fun total(): Double = passes.sum() + failures.sum()

    fun scale(factor: Double) {
        scale(passes, factor)
        scale(failures, factor)
    }
}

/**
 * The evidence on one version's answers to one kind of request: discounted ratings and scores by score bin. Not
 * thread-safe; the owner must hold its lock.
 */
internal class PassRateCell(private val retentionPerRating: Double, private val pseudoCount: Double) {
    private val scores = DoubleArray(ScoreBins.COUNT)
    private var ratings = BinnedRatings()
    private var recent = BinnedRatings()
    private var beforeFall: BinnedRatings? = null

    /** The pass rate assumed without ratings, as set by the last reader. */
    var prior: Double = DEFAULT_PRIOR
        set(value) {
            if (field != value) cachedProfile = null
            field = value
        }

    /** The profile, cached until the evidence changes, because there are many decisions for each rating. */
    private var cachedProfile: ScoreProfile? = null

    fun recordScore(score: Double) {
        cachedProfile = null
        scale(scores, retentionPerRating)
        scores[ScoreBins.binOf(score)] += 1.0
    }

    fun recordRating(score: Double?, passed: Boolean) {
        cachedProfile = null
        ratings.scale(retentionPerRating)
        if (score == null) {
            distribute(passed)
        } else {
            add(ScoreBins.binOf(score), passed, amount = 1.0)
        }
    }

    /** Weighted number of ratings behind the expected rate. */
    val expectedRateRatings: Double get() = (beforeFall ?: ratings).total()

    /** Weighted number of ratings behind the current rate. */
    val ratingCount: Double get() = ratings.total()

    /** The pass rate of an answer with [score]; after a fall, by the evidence from before it. */
    fun expectedRate(score: Double?): Double {
        val evidence = beforeFall ?: ratings
        if (score != null) return rate(evidence, ScoreBins.binOf(score))
        val frequencies = frequencies()
        return frequencies.indices.sumOf { frequencies[it] * rate(evidence, it) }
    }

    fun profile(): ScoreProfile = cachedProfile ?: computeProfile().also { cachedProfile = it }

    private fun computeProfile(): ScoreProfile {
        val rates = DoubleArray(ScoreBins.COUNT) { bin -> rate(ratings, bin) }
        val variances = DoubleArray(ScoreBins.COUNT) { bin ->
            rates[bin] * (1 - rates[bin]) / (weight(ratings, bin) + 1)
        }
        return ScoreProfile(frequencies(), rates, variances)
    }

    /** Clears the recent ratings; called when no change is suspected. */
    fun clearRecent() {
        recent = BinnedRatings()
    }

    /** Sets aside the ratings from before a detected fall. */
    fun setAsideBeforeFall() {
        cachedProfile = null
        if (beforeFall == null) beforeFall = ratings
        ratings = recent.copy()
    }

    /** Restores the ratings from before the fall, because the rate has recovered. */
    fun restoreBeforeFall() {
        cachedProfile = null
        ratings = beforeFall ?: return
        beforeFall = null
    }

    /** Drops the ratings from before the fall, because the lower rate counts as permanent. */
    fun dropBeforeFall() {
        beforeFall = null
    }

    /** Multiplies the weight of the ratings since a fall by [factor]. */
    fun discountSinceFall(factor: Double) {
        cachedProfile = null
        if (beforeFall != null) ratings.scale(factor)
    }

    private fun frequencies(): DoubleArray {
        val total = scores.sum() + 1.0
        return DoubleArray(ScoreBins.COUNT) { bin -> (scores[bin] + 1.0 / ScoreBins.COUNT) / total }
    }

    private fun weight(evidence: BinnedRatings, bin: Int): Double =
        evidence.passes[bin] + evidence.failures[bin] + pseudoCount / ScoreBins.COUNT

    private fun rate(evidence: BinnedRatings, bin: Int): Double =
        (evidence.passes[bin] + prior * pseudoCount / ScoreBins.COUNT) / weight(evidence, bin)

    /** Distributes a rating without a score over the bins by their probability given the rating. */
    private fun distribute(passed: Boolean) {
        val frequencies = frequencies()
        val likelihoods = DoubleArray(ScoreBins.COUNT) { bin ->
            val rate = rate(ratings, bin)
            frequencies[bin] * (if (passed) rate else 1 - rate)
        }
        val total = likelihoods.sum()
        if (total <= 0.0) return
        likelihoods.forEachIndexed { bin, likelihood -> add(bin, passed, likelihood / total) }
    }

    private fun add(bin: Int, passed: Boolean, amount: Double) {
        ratings.add(bin, passed, amount)
        recent.add(bin, passed, amount)
    }

    private companion object {
        const val DEFAULT_PRIOR = 0.9
    }
}

private fun scale(values: DoubleArray, factor: Double) {
    for (index in values.indices) values[index] *= factor
}
