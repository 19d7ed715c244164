package io.quetzalfield.decision

/** Weighted numbers of passed and failed answers by score bin. */
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
 * thread-safe: its owner holds the lock.
 */
internal class PassRateCell(private val retentionPerRating: Double, private val pseudoCount: Double) {
    private val scores = DoubleArray(ScoreBins.COUNT)
    private var ratings = BinnedRatings()
    private var recent = BinnedRatings()
    private var beforeFall: BinnedRatings? = null

    /** The pass rate assumed without ratings, as last given by a reader. */
    var prior: Double = DEFAULT_PRIOR

    fun recordScore(score: Double) {
        scale(scores, retentionPerRating)
        scores[ScoreBins.binOf(score)] += 1.0
    }

    fun recordRating(score: Double?, passed: Boolean) {
        ratings.scale(retentionPerRating)
        if (score == null) {
            spread(passed)
        } else {
            add(ScoreBins.binOf(score), passed, amount = 1.0)
        }
    }

    /** Ratings that the expected rate rests on. */
    val expectedFrom: Double get() = (beforeFall ?: ratings).total()

    /** Ratings that the present rate rests on. */
    val ratingCount: Double get() = ratings.total()

    /** The pass rate of an answer with [score], by the evidence from before a fall if there was one. */
    fun expectedRate(score: Double?): Double {
        val evidence = beforeFall ?: ratings
        if (score != null) return rate(evidence, ScoreBins.binOf(score))
        val frequencies = frequencies()
        return frequencies.indices.sumOf { frequencies[it] * rate(evidence, it) }
    }

    fun profile(): ScoreProfile {
        val rates = DoubleArray(ScoreBins.COUNT) { bin -> rate(ratings, bin) }
        val variances = DoubleArray(ScoreBins.COUNT) { bin ->
            rates[bin] * (1 - rates[bin]) / (weight(ratings, bin) + 1)
        }
        return ScoreProfile(frequencies(), rates, variances)
    }

    /** Forgets which ratings are recent: no change is under suspicion. */
    fun clearRecent() {
        recent = BinnedRatings()
    }

    /** Sets the ratings from before the suspected fall aside. */
    fun forgetBeforeFall() {
        if (beforeFall == null) beforeFall = ratings
        ratings = recent.copy()
    }

    /** Takes the ratings from before the fall back, as the rate has risen to what they say. */
    fun restoreBeforeFall() {
        ratings = beforeFall ?: return
        beforeFall = null
    }

    /** Drops the ratings from before the fall: the rate will stay fallen. */
    fun dropBeforeFall() {
        beforeFall = null
    }

    /** Makes the ratings since a fall count less. */
    fun fade(factor: Double) {
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

    /** Shares a rating without a score among the bins by how probable each is, given the rating. */
    private fun spread(passed: Boolean) {
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
