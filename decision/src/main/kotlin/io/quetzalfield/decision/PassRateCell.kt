package io.quetzalfield.decision

/**
 * Discounted counts of passed and failed answers by score bin, for one kind of request and one version. Not
 * thread-safe: its owner holds the lock.
 */
internal class PassRateCell(private val settings: LearningSettings, private val pseudoCount: Double) {
    private val scores = DoubleArray(ScoreBins.COUNT)
    private val passes = DoubleArray(ScoreBins.COUNT)
    private val failures = DoubleArray(ScoreBins.COUNT)
    private val recentPasses = DoubleArray(ScoreBins.COUNT)
    private val recentFailures = DoubleArray(ScoreBins.COUNT)
    private val detector = ChangeDetector(settings.noticedDrop, settings.alarmThreshold)
    private val retention = settings.retentionPerRating

    /** The pass rate assumed without ratings, as last given by a reader. */
    var prior: Double = DEFAULT_PRIOR

    fun recordScore(score: Double) {
        scale(scores, retention)
        scores[ScoreBins.binOf(score)] += 1.0
    }

    fun recordRating(score: Double?, passed: Boolean) {
        detector.observe(passed, expectedRate(score))
        listOf(passes, failures).forEach { scale(it, retention) }
        if (score == null) {
            spread(passed)
        } else {
            add(ScoreBins.binOf(score), passed, amount = 1.0)
        }
        if (detector.isAtZero) listOf(recentPasses, recentFailures).forEach { it.fill(0.0) }
        if (detector.hasAlarm) forgetBeforeChange()
    }

    fun profile(): ScoreProfile {
        val rates = DoubleArray(ScoreBins.COUNT, ::rate)
        val variances = DoubleArray(ScoreBins.COUNT) { bin -> rates[bin] * (1 - rates[bin]) / (weight(bin) + 1) }
        return ScoreProfile(frequencies(), rates, variances)
    }

    private fun frequencies(): DoubleArray {
        val total = scores.sum() + 1.0
        return DoubleArray(ScoreBins.COUNT) { bin -> (scores[bin] + 1.0 / ScoreBins.COUNT) / total }
    }

    private fun weight(bin: Int): Double = passes[bin] + failures[bin] + pseudoCount / ScoreBins.COUNT

    private fun rate(bin: Int): Double = (passes[bin] + prior * pseudoCount / ScoreBins.COUNT) / weight(bin)

    private fun expectedRate(score: Double?): Double =
        if (score == null) profile().passRate else rate(ScoreBins.binOf(score))

    /** Shares a rating without a score among the bins by how probable each is, given the rating. */
    private fun spread(passed: Boolean) {
        val frequencies = frequencies()
        val likelihoods = DoubleArray(ScoreBins.COUNT) { bin ->
            frequencies[bin] * (if (passed) rate(bin) else 1 - rate(bin))
        }
        val total = likelihoods.sum()
        if (total <= 0.0) return
        likelihoods.forEachIndexed { bin, likelihood -> add(bin, passed, likelihood / total) }
    }

    private fun add(bin: Int, passed: Boolean, amount: Double) {
        val (all, recent) = if (passed) passes to recentPasses else failures to recentFailures
        all[bin] += amount
        recent[bin] += amount
    }

    private fun forgetBeforeChange() {
        recentPasses.copyInto(passes)
        recentFailures.copyInto(failures)
        listOf(recentPasses, recentFailures).forEach { it.fill(0.0) }
        detector.reset()
    }

    private fun scale(values: DoubleArray, factor: Double) {
        for (index in values.indices) values[index] *= factor
    }

    private companion object {
        const val DEFAULT_PRIOR = 0.9
    }
}
