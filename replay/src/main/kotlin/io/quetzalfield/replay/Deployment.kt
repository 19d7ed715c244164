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
 * A deployment from which traces are generated.
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
 * @property share share of the conversations that are of this kind.
 * @property sessionShare share of them that are sessions of several requests; the others have one request.
 * @property promptTokens mean length of the prompt, in tokens.
 * @property answerTokens mean length of the answer, in tokens.
 */
public data class RequestKind(
    val name: String,
    val share: Double,
    val sessionShare: Double,
    val promptTokens: Int,
    val answerTokens: Int,
)

/**
 * A version with its true quality and speed.
 *
 * @property margins by kind of request: an answer passes when a standard normal variable stays below the margin.
 * @property isListedAtStart whether the version is in force from the start; the others are rolled out later.
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
 * The versions that generated roll-outs and faults affect.
 *
 * @property healthy a version whose roll-out completes.
 * @property replaced the version before [healthy]; it is drained, then withdrawn.
 * @property bad a version of half the quality that is rolled out and finally withdrawn by the operator.
 * @property turnsBad a serving version that answers badly for part of the trace.
 */
public data class Rollouts(
    val healthy: ModelVersionReference,
    val replaced: ModelVersionReference,
    val bad: ModelVersionReference,
    val turnsBad: ModelVersionReference,
)

/** The decision weights of the deployment. */
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
    requireNotNull(ModelVersionReference.parse(text)) { "'$text' is not a version; allowed: model@version" }

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

/** One account per element of [weights], assigned to [plans] in turn, with an allowance proportional to its weight. */
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

/** The duration of a generated trace with an expected number of [requests] at the usual rate. */
internal fun Deployment.duration(requests: Int): Duration = (requests / requestsPerSecond).seconds
