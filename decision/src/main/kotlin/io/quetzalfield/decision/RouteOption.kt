package io.quetzalfield.decision

import io.quetzalfield.model.ModelVersion
import io.quetzalfield.model.ModelVersionReference
import kotlin.math.max
import kotlin.math.sqrt
import kotlin.time.DurationUnit

/**
 * A route that is evaluated for one request.
 *
 * @property gateBin the lowest score bin that is accepted; `null` for a route of one stage.
 * @property cost expected cost of the request, in the operators' currency.
 * @property latencySeconds expected time to the complete answer.
 * @property quality estimated pass rate.
 * @property variance variance of the estimate [quality].
 */
internal class RouteOption(
    val first: Stage,
    val second: Stage?,
    val gateBin: Int?,
    val cost: Double,
    val latencySeconds: Double,
    val quality: Double,
    val variance: Double,
) {
    val standardError: Double get() = sqrt(max(variance, 0.0))

    val stages: List<ModelVersionReference> get() = listOfNotNull(first.reference, second?.reference)
}

/**
 * A version as a stage of a route for one request.
 *
 * @property evidenceSource the version from whose answers [profile] was learned.
 * @property cost cost of the complete answer.
 * @property gateCost cost of an answer that is cancelled at the gate.
 * @property seconds expected time to the complete answer.
 * @property gateSeconds expected time to the gate.
 */
internal class Stage(
    val reference: ModelVersionReference,
    val version: ModelVersion,
    val evidenceSource: ModelVersionReference,
    val profile: ScoreProfile,
    latency: VersionLatency,
    tokens: Int,
    tokensAtGate: Int,
) {
    val cost: Double = version.costPerThousandTokens * tokens / TOKENS_PER_PRICE
    val gateCost: Double = version.costPerThousandTokens * tokensAtGate / TOKENS_PER_PRICE
    val seconds: Double = latency.timeUntil(tokens).toDouble(DurationUnit.SECONDS)
    val gateSeconds: Double = latency.timeUntil(tokensAtGate).toDouble(DurationUnit.SECONDS)

    private companion object {
        const val TOKENS_PER_PRICE = 1_000
    }
}

/** Enumerates the routes of one and two stages for one request. */
internal class RouteOptions(
    private val request: RouteRequest,
    private val stages: List<Stage>,
    private val estimates: CascadeEstimates,
) {
    inline fun forEach(action: (RouteOption) -> Unit) {
        stages.forEach { action(single(it)) }
        if (request.maximumStages < 2) return
        for (first in stages) {
            for (second in stages) {
                if (first.cost >= second.cost) continue
                val escalated = escalatedProfile(first, second)
                val sums = CascadeSums(first.profile, escalated)
                for (gateBin in 1 until ScoreBins.COUNT) {
                    sums.reject(gateBin - 1)
                    action(cascade(first, second, gateBin, sums))
                }
            }
        }
    }

    fun escalatedProfile(first: Stage, second: Stage): ScoreProfile = estimates.escalatedProfile(
        first.evidenceSource,
        second.evidenceSource,
        request.kind,
        second.version.priorQuality,
    )

    fun single(stage: Stage): RouteOption = RouteOption(
        first = stage,
        second = null,
        gateBin = null,
        cost = stage.cost,
        latencySeconds = stage.seconds,
        quality = stage.profile.passRate,
        variance = stage.profile.variance,
    )

    /** The cascade that accepts the answers of [first] whose score is in [gateBin] or a higher bin. */
    fun cascade(first: Stage, second: Stage, gateBin: Int, sums: CascadeSums): RouteOption {
        val rejectedShare = sums.rejectedShare
        val acceptedShare = 1 - rejectedShare
        return RouteOption(
            first = first,
            second = second,
            gateBin = gateBin,
            cost = acceptedShare * first.cost + rejectedShare * (first.gateCost + second.cost),
            latencySeconds = acceptedShare * first.seconds + rejectedShare * (first.gateSeconds + second.seconds),
            quality = sums.quality,
            variance = sums.variance,
        )
    }
}

/** Incrementally computes the pass rate of a cascade and its variance as the gate rises from accepting all answers. */
internal class CascadeSums(private val first: ScoreProfile, private val escalated: ScoreProfile) {
    var rejectedShare = 0.0
        private set
    var quality = first.passRate
        private set
    var variance = first.variance
        private set

    /** Assigns the answers in [bin] to the second stage. */
    fun reject(bin: Int) {
        val frequency = first.frequencies[bin]
        rejectedShare += frequency
        quality += frequency * (escalated.passRates[bin] - first.passRates[bin])
        variance += frequency * frequency * (escalated.variances[bin] - first.variances[bin])
    }
}
