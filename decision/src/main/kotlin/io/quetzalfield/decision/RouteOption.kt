package io.quetzalfield.decision

import io.quetzalfield.model.ModelVersionReference
import kotlin.math.min
import kotlin.math.sqrt
import kotlin.time.DurationUnit

/**
 * A route that is weighed.
 *
 * @property cost expected cost of the request, in the operators' currency.
 * @property latencySeconds expected time to the whole answer.
 * @property quality estimated pass rate.
 * @property variance variance of the estimate [quality].
 */
internal class RouteOption(
    val first: Stage,
    val second: Stage?,
    val gate: AcceptanceGate?,
    val cost: Double,
    val latencySeconds: Double,
    val quality: Double,
    val variance: Double,
) {
    val standardError: Double get() = sqrt(variance)

    val stages: List<ModelVersionReference> get() = listOfNotNull(first.reference, second?.reference)
}

/**
 * A version as a stage of a route.
 *
 * @property evidenceSource the version whose answers [profile] and [latency] were learnt from.
 */
internal class Stage(
    eligible: EligibleVersion,
    val evidenceSource: ModelVersionReference,
    val profile: ScoreProfile,
    val latency: VersionLatency,
) {
    val reference: ModelVersionReference = eligible.reference
    val prior: Double = eligible.version.priorQuality
    val costPerThousandTokens: Double = eligible.version.costPerThousandTokens

    fun cost(tokens: Int): Double = costPerThousandTokens * tokens / TOKENS_PER_PRICE

    fun seconds(tokens: Int): Double = latency.until(tokens).toDouble(DurationUnit.SECONDS)

    private companion object {
        const val TOKENS_PER_PRICE = 1_000
    }
}

/** Lists the routes of one and two stages for one request. */
internal class RouteOptions(
    private val request: RouteRequest,
    private val stages: List<Stage>,
    private val estimates: CascadeEstimates,
    private val gateTokens: Int,
) {
    private val tokens = request.expectedTokens
    private val tokensAtGate = min(gateTokens, tokens)

    inline fun forEach(action: (RouteOption) -> Unit) {
        stages.forEach { action(single(it)) }
        if (request.maximumStages < 2) return
        for (first in stages) {
            for (second in stages) {
                if (first.costPerThousandTokens >= second.costPerThousandTokens) continue
                val escalated = estimates.escalatedProfile(
                    first.reference,
                    second.reference,
                    request.kind,
                    second.prior,
                )
                for (bin in 1 until ScoreBins.COUNT) action(cascade(first, second, escalated, bin))
            }
        }
    }

    fun escalatedProfile(first: Stage, second: Stage): ScoreProfile =
        estimates.escalatedProfile(first.evidenceSource, second.evidenceSource, request.kind, second.prior)

    fun single(stage: Stage): RouteOption = RouteOption(
        first = stage,
        second = null,
        gate = null,
        cost = stage.cost(tokens),
        latencySeconds = stage.seconds(tokens),
        quality = stage.profile.passRate,
        variance = stage.profile.variance,
    )

    /** The cascade that accepts answers of [first] whose score falls into [gateBin] or a higher bin. */
    fun cascade(first: Stage, second: Stage, escalated: ScoreProfile, gateBin: Int): RouteOption {
        var rejectedShare = 0.0
        var quality = 0.0
        var variance = 0.0
        for (bin in 0 until ScoreBins.COUNT) {
            val frequency = first.profile.frequencies[bin]
            val source = if (bin < gateBin) escalated else first.profile
            if (bin < gateBin) rejectedShare += frequency
            quality += frequency * source.passRates[bin]
            variance += frequency * frequency * source.variances[bin]
        }
        val acceptedShare = 1 - rejectedShare
        return RouteOption(
            first = first,
            second = second,
            gate = AcceptanceGate(ScoreBins.lowerEdge(gateBin), gateTokens),
            cost = acceptedShare * first.cost(
                tokens,
            ) + rejectedShare * (first.cost(tokensAtGate) + second.cost(tokens)),
            latencySeconds = acceptedShare * first.seconds(tokens) +
                rejectedShare * (first.seconds(tokensAtGate) + second.seconds(tokens)),
            quality = quality,
            variance = variance,
        )
    }
}
