package io.quetzalfield.decision

import io.quetzalfield.model.ModelVersionReference
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.math.pow
import kotlin.math.sqrt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Settings of [LearnedQualityEstimates].
 *
 * @property priorRatings number of ratings that the prior of the operators' lists counts as.
 * @property escalatedPriorRatings number of ratings that the prior of an escalated answer counts as.
 * @property escalatedPriorFactor share of its usual pass rate that a second stage is assumed to reach on requests
 * whose first answer was not accepted.
 * @property halfLifeInRatings number of further ratings of the same version and kind after which the weight of a rating
 * has halved.
 * @property detectedDrop fall of a pass rate, as a share from 0 to 1, that the change detector is designed to detect.
 * @property fallThreshold log-likelihood ratio, in nats, at which a fall is detected and older ratings are set aside.
 * @property riseThreshold log-likelihood ratio, in nats, at which a fallen version counts as recovered.
 * @property ratingsBeforeDetection minimum number of ratings behind an expected rate before falls from it are detected;
 * with fewer, a prior that is wrong for the kind would count as a fall.
 * @property ratingsOfLastingFall number of ratings since a fall after which the lower rate counts as permanent.
 * @property fallenHalfLife time in which the weight of a rating of a fallen version halves.
 * @property discountInterval minimum time between two steps of that discount.
 * @property maximumCells maximum number of combinations of kind and first stage with separate evidence per version.
 */
public data class LearningSettings(
    val priorRatings: Double = 20.0,
    val escalatedPriorRatings: Double = 20.0,
    val escalatedPriorFactor: Double = 0.95,
    val halfLifeInRatings: Double = 5_000.0,
    val detectedDrop: Double = 0.15,
    val fallThreshold: Double = 10.0,
    val riseThreshold: Double = 4.0,
    val ratingsBeforeDetection: Double = 50.0,
    val ratingsOfLastingFall: Double = 300.0,
    val fallenHalfLife: Duration = 2.minutes,
    val discountInterval: Duration = 1.seconds,
    val maximumCells: Int = 512,
) {
    internal val retentionPerRating: Double get() = HALF.pow(1 / halfLifeInRatings)

    private companion object {
        const val HALF = 0.5
    }
}

/**
 * The rejected first answer of a cascade whose second answer is rated.
 *
 * @property version the version of the first stage.
 * @property score the acceptance score of its answer, below the minimum score of the gate.
 */
public data class Escalation(val version: ModelVersionReference, val score: Double)

/**
 * A rating of an answer, with the attributes by which it is learned.
 *
 * @property score the acceptance score of the rated answer; `null` if the engine did not report one.
 * @property escalation the preceding stage; `null` for an answer of the first or only stage.
 */
public data class RatedAnswer(
    val version: ModelVersionReference,
    val kind: String,
    val passed: Boolean,
    val score: Double? = null,
    val escalation: Escalation? = null,
)

/**
 * Learns pass rates from ratings, by version, kind of request and acceptance score.
 *
 * Each rate is the mean of a Beta distribution whose prior comes from the operators' lists. Older ratings have less
 * weight, and are set aside when a change detector finds that the rate of the version has fallen. Thread-safe: versions
 * are distributed over shards, each with its own lock.
 */
public class LearnedQualityEstimates(
    private val settings: LearningSettings = LearningSettings(),
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) : QualityEstimates,
    CascadeEstimates {
    private class Shard {
        val lock = ReentrantLock()
        val versions = HashMap<ModelVersionReference, VersionEvidence>()
    }

    private val shards = List(SHARD_COUNT) { Shard() }

    override fun estimate(version: ModelVersionReference, kind: String, prior: Double): Double =
        profile(version, kind, prior).passRate

    /** The lower bound that the pass rate of [version] exceeds with a probability of about [confidence]. */
    public fun lowerBound(version: ModelVersionReference, kind: String, prior: Double, confidence: Double): Double {
        val profile = profile(version, kind, prior)
        return profile.passRate - normalQuantile(confidence) * sqrt(profile.variance)
    }

    override fun profile(version: ModelVersionReference, kind: String, prior: Double): ScoreProfile =
        withEvidence(version) { it.profile(EvidenceKey(kind), prior) }

    override fun escalatedProfile(
        first: ModelVersionReference,
        second: ModelVersionReference,
        kind: String,
        prior: Double,
    ): ScoreProfile = withEvidence(second) { evidence ->
        val unconditionalRate = evidence.profile(EvidenceKey(kind), prior).passRate
        evidence.profile(EvidenceKey(kind, escalatedFrom = first), unconditionalRate * settings.escalatedPriorFactor)
    }

    /** Records the acceptance [score] of an answer of a first or only stage, whether or not it was accepted. */
    public fun recordScore(version: ModelVersionReference, kind: String, score: Double) {
        withEvidence(version) { it.cell(EvidenceKey(kind)).recordScore(score) }
    }

    /** Records the rating of [answer]. */
    public fun recordRating(answer: RatedAnswer) {
        val escalation = answer.escalation
        val key = EvidenceKey(answer.kind, escalation?.version)
        val score = if (escalation == null) answer.score else escalation.score
        withEvidence(answer.version) { it.recordRating(key, score, answer.passed) }
    }

    private inline fun <T> withEvidence(version: ModelVersionReference, action: (VersionEvidence) -> T): T {
        val shard = shards[Math.floorMod(version.hashCode(), SHARD_COUNT)]
        return shard.lock.withLock {
            action(shard.versions.getOrPut(version) { VersionEvidence(settings, timeSource) })
        }
    }

    private companion object {
        const val SHARD_COUNT = 16
    }
}
