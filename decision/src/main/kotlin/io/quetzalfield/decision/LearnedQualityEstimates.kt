package io.quetzalfield.decision

import io.quetzalfield.model.ModelVersionReference
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.math.pow

/**
 * How pass rates are learnt.
 *
 * @property priorRatings how many ratings the prior of the operators' lists is worth.
 * @property escalatedPriorRatings how many ratings the prior of an escalated answer is worth.
 * @property escalatedPriorFactor share of its usual pass rate that a second stage is assumed to reach on requests
 * whose first answer was not accepted.
 * @property halfLifeInRatings after how many further ratings of the same version and kind a rating counts half.
 * @property noticedDrop fall of a pass rate, as a share from 0 to 1, that the change detector is tuned to.
 * @property alarmThreshold log-likelihood ratio, in nats, at which older ratings are forgotten.
 */
public data class LearningSettings(
    val priorRatings: Double = 20.0,
    val escalatedPriorRatings: Double = 20.0,
    val escalatedPriorFactor: Double = 0.95,
    val halfLifeInRatings: Double = 5_000.0,
    val noticedDrop: Double = 0.15,
    val alarmThreshold: Double = 10.0,
) {
    internal val retentionPerRating: Double get() = 0.5.pow(1 / halfLifeInRatings)
}

/**
 * The answer before the one that is rated, when a cascade went on to its second stage.
 *
 * @property version the version of the first stage.
 * @property score the acceptance score of its answer, below the gate's.
 */
public data class Escalation(val version: ModelVersionReference, val score: Double)

/**
 * A rating as the estimates take it.
 *
 * @property score the acceptance score of the rated answer; `null` when the engine reported none.
 * @property escalation the stage before it; `null` for an answer of the first or only stage.
 */
public data class RatedAnswer(
    val version: ModelVersionReference,
    val kind: String,
    val passed: Boolean,
    val score: Double? = null,
    val escalation: Escalation? = null,
)

/**
 * Pass rates learnt from ratings, by version, kind of request and acceptance score.
 *
 * Each rate is the mean of a Beta distribution whose prior is that of the operators' lists. Older ratings count less,
 * and are forgotten when a change detector finds that the rate has fallen. Thread-safe: the cells are spread over
 * shards, each under its own lock.
 */
public class LearnedQualityEstimates(private val settings: LearningSettings = LearningSettings()) :
    QualityEstimates,
    CascadeEstimates {
    private data class Key(
        val version: ModelVersionReference,
        val kind: String,
        val escalatedFrom: ModelVersionReference? = null,
    )

    private class Shard {
        val lock = ReentrantLock()
        val cells = HashMap<Key, PassRateCell>()
    }

    private val shards = List(SHARD_COUNT) { Shard() }

    override fun estimate(version: ModelVersionReference, kind: String, prior: Double): Double =
        profile(version, kind, prior).passRate

    /** The pass rate of [version] that is exceeded with a probability of about [confidence]. */
    public fun lowerBound(version: ModelVersionReference, kind: String, prior: Double, confidence: Double): Double {
        val profile = profile(version, kind, prior)
        return profile.passRate - normalQuantile(confidence) * kotlin.math.sqrt(profile.variance)
    }

    override fun profile(version: ModelVersionReference, kind: String, prior: Double): ScoreProfile =
        read(Key(version, kind), prior)

    override fun escalatedProfile(
        first: ModelVersionReference,
        second: ModelVersionReference,
        kind: String,
        prior: Double,
    ): ScoreProfile {
        val usual = estimate(second, kind, prior)
        return read(Key(second, kind, escalatedFrom = first), usual * settings.escalatedPriorFactor)
    }

    /** Takes the acceptance [score] of an answer of a first or only stage, whether it was accepted or not. */
    public fun recordScore(version: ModelVersionReference, kind: String, score: Double) {
        change(Key(version, kind)) { it.recordScore(score) }
    }

    /** Takes a rating. */
    public fun recordRating(answer: RatedAnswer) {
        val escalation = answer.escalation
        if (escalation == null) {
            change(Key(answer.version, answer.kind)) { it.recordRating(answer.score, answer.passed) }
        } else {
            val key = Key(answer.version, answer.kind, escalation.version)
            change(key) { it.recordRating(escalation.score, answer.passed) }
        }
    }

    private fun read(key: Key, prior: Double): ScoreProfile = withCell(key) { cell ->
        cell.prior = prior
        cell.profile()
    }

    private fun change(key: Key, action: (PassRateCell) -> Unit) {
        withCell(key, action)
    }

    private inline fun <T> withCell(key: Key, action: (PassRateCell) -> T): T {
        val shard = shards[Math.floorMod(key.hashCode(), SHARD_COUNT)]
        return shard.lock.withLock { action(shard.cells.getOrPut(key) { newCell(key) }) }
    }

    private fun newCell(key: Key): PassRateCell {
        val pseudoCount = if (key.escalatedFrom == null) settings.priorRatings else settings.escalatedPriorRatings
        return PassRateCell(settings, pseudoCount)
    }

    private companion object {
        const val SHARD_COUNT = 16
    }
}
