package io.quetzalfield.replay

import io.quetzalfield.decision.CascadeEstimates
import io.quetzalfield.decision.ScoreBins
import io.quetzalfield.decision.ScoreProfile
import io.quetzalfield.model.ModelVersionReference
import kotlin.time.Duration

/**
 * The true pass rates of a trace by kind, version and score, for each period between changes of bad versions. Their
 * variance is 0, as they are exact.
 */
internal class OracleEstimates(trace: Trace, private val now: () -> Duration) : CascadeEstimates {
    private data class Key(
        val period: Int,
        val version: ModelVersionReference,
        val kind: String,
        val first: ModelVersionReference? = null,
    )

    private class Counts {
        val answers = DoubleArray(ScoreBins.COUNT)
        val passes = DoubleArray(ScoreBins.COUNT)

        fun add(bin: Int, passed: Boolean) {
            answers[bin] += 1.0
            if (passed) passes[bin] += 1.0
        }
    }

    private val badVersions = trace.events.filterIsInstance<TraceBadVersion>()
    private val periodStarts = badVersions.flatMap { listOf(it.timeMilliseconds, it.untilMilliseconds) }.sorted()
    private val counts = HashMap<Key, Counts>()
    private val profiles = HashMap<Key, ScoreProfile>()

    init {
        trace.requests.forEach(::addOutcomes)
    }

    /** The versions that are bad at the current time. */
    fun badVersions(): Set<ModelVersionReference> {
        val time = now().inWholeMilliseconds
        return badVersions.filter { time in it.timeMilliseconds until it.untilMilliseconds }
            .map { it.version }
            .toSet()
    }

    override fun profile(version: ModelVersionReference, kind: String, prior: Double): ScoreProfile =
        profile(Key(currentPeriod(), version, kind))

    override fun escalatedProfile(
        first: ModelVersionReference,
        second: ModelVersionReference,
        kind: String,
        prior: Double,
    ): ScoreProfile = profile(Key(currentPeriod(), second, kind, first))

    private fun currentPeriod(): Int = period(now().inWholeMilliseconds)

    private fun period(time: Long): Int = periodStarts.count { it <= time }

    private fun addOutcomes(request: TraceRequest) {
        val period = period(request.timeMilliseconds)
        for ((first, firstOutcome) in request.outcomes) {
            val bin = ScoreBins.binOf(firstOutcome.score)
            countsOf(Key(period, first, request.kind)).add(bin, firstOutcome.passes)
            for ((second, secondOutcome) in request.outcomes) {
                if (second == first) continue
                countsOf(Key(period, second, request.kind, first)).add(bin, secondOutcome.passes)
            }
        }
    }

    private fun countsOf(key: Key): Counts = counts.getOrPut(key, ::Counts)

    private fun profile(key: Key): ScoreProfile = profiles.getOrPut(key) {
        val counts = counts[key] ?: Counts()
        val total = maxOf(counts.answers.sum(), 1.0)
        ScoreProfile(
            frequencies = DoubleArray(ScoreBins.COUNT) { counts.answers[it] / total },
            passRates = DoubleArray(ScoreBins.COUNT) { counts.passes[it] / maxOf(counts.answers[it], 1.0) },
            variances = DoubleArray(ScoreBins.COUNT),
        )
    }
}
