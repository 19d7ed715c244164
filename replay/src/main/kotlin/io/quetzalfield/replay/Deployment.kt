package io.quetzalfield.replay

import io.quetzalfield.decision.DecisionWeights
import io.quetzalfield.model.ClientAccount
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.Plan
import io.quetzalfield.model.RunnerId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What traces of a deployment are generated from.
 *
 * @property requestsPerSecond mean rate of requests outside bursts.
 * @property scoreSeparation distance of the mean acceptance scores of good and bad answers, in standard deviations of
 * the noise, before the logistic function.
 */
public data class Deployment(
    val name: DeploymentName,
    val plans: List<Plan>,
    val accounts: List<ClientAccount>,
    val kinds: List<RequestKind>,
    val versions: List<VersionProfile>,
    val runners: List<TraceRunner>,
    val rollouts: Rollouts,
    val requestsPerSecond: Double,
    val scoreSeparation: Double = 1.5,
)

/**
 * A kind of request.
 *
 * @property share share of the conversations and lone requests.
 * @property sessionShare share that are conversations of several requests.
 * @property promptTokens mean length of the prompt.
 * @property answerTokens mean length of the answer.
 */
public data class RequestKind(
    val name: String,
    val share: Double,
    val sessionShare: Double,
    val promptTokens: Int,
    val answerTokens: Int,
)

/**
 * A version and how well it truly answers.
 *
 * @property margins by kind of request: an answer passes when a standard normal variable stays below the margin.
 * @property isListedAtStart whether the version is in force from the start; others come by a roll-out.
 */
public data class VersionProfile(
    val reference: ModelVersionReference,
    val costPerThousandTokens: Double,
    val priorQuality: Double,
    val millisecondsPerToken: Double,
    val margins: Map<String, Double>,
    val isListedAtStart: Boolean = true,
)

/**
 * The versions that the generated events happen to.
 *
 * @property healthy a version that is rolled out to the end; the one before it is drained, then withdrawn.
 * @property bad a version that is rolled out with half the quality, and withdrawn by the operator at last.
 * @property turnsBad a serving version that answers badly for a while.
 */
public data class Rollouts(
    val healthy: ModelVersionReference,
    val replaced: ModelVersionReference,
    val bad: ModelVersionReference,
    val turnsBad: ModelVersionReference,
)

/** The weights that the deployment decides by. */
public val DeploymentName.weights: DecisionWeights
    get() = when (this) {
        DeploymentName.KALKKILA -> DecisionWeights.KalkkilaNeedleCalibration
        DeploymentName.ASSOCIATION -> DecisionWeights.WateringAdvice
    }

/** The deployment that traces of this name are generated from. */
public val DeploymentName.deployment: Deployment
    get() = when (this) {
        DeploymentName.KALKKILA -> KalkkilaDeployment
        DeploymentName.ASSOCIATION -> AssociationDeployment
    }

internal fun reference(text: String): ModelVersionReference =
    requireNotNull(ModelVersionReference.parse(text)) { "'$text' names no version; allowed: model@version" }

internal fun runners(prefix: String, count: Int, domains: List<String>, versions: List<VersionProfile>) =
    List(count) { index ->
        TraceRunner(
            id = RunnerId("$prefix-${index + 1}"),
            failureDomain = FailureDomainId(domains[index % domains.size]),
            slots = 8,
            promptTokensPerSecond = 4_000.0,
            prefixCapacity = 64,
            versions = versions.map { it.reference },
        )
    }

/** One account per element of [weights], on [plans] in turn, with an allowance in proportion to its weight. */
internal fun accounts(prefix: String, plans: List<Plan>, weights: List<Double>, tokensPerMinute: Long) =
    weights.mapIndexed { index, weight ->
        ClientAccount(
            id = ClientAccountId("$prefix-${index + 1}"),
            plan = plans[index % plans.size].id,
            apiKeyHashes = emptyList(),
            tokensPerMinute = (tokensPerMinute * weight / weights.sum()).toLong(),
            weight = weight,
        )
    }

/** How long a generated trace is when it has [requests] requests. */
internal fun Deployment.duration(requests: Int): Duration = (requests / requestsPerSecond).seconds
