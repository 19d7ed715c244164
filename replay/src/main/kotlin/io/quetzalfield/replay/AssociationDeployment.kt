package io.quetzalfield.replay

import io.quetzalfield.model.Plan
import io.quetzalfield.model.PlanId
import io.quetzalfield.model.RequestPriority

private const val SUCCULENT_QUESTION = "succulent-question"
private const val YELLOWING_PLANT = "yellowing-plant"
private const val WATERING_PLAN = "watering-plan"

private fun margins(question: Double, yellowing: Double, plan: Double): Map<String, Double> =
    mapOf(SUCCULENT_QUESTION to question, YELLOWING_PLANT to yellowing, WATERING_PLAN to plan)

private val Plans = listOf(
    Plan(
        id = PlanId("shop"),
        qualityTarget = 0.88,
        priority = RequestPriority.INTERACTIVE,
        firstTokenDeadlineMilliseconds = 3_000,
        deadlineMilliseconds = 60_000,
    ),
    Plan(
        id = PlanId("grower"),
        qualityTarget = 0.85,
        firstTokenDeadlineMilliseconds = 10_000,
        deadlineMilliseconds = 120_000,
    ),
)

private val Versions = listOf(
    VersionProfile(
        reference = reference("acacia-small@1"),
        costPerThousandTokens = 0.1,
        priorQuality = 0.8,
        millisecondsPerToken = 7.0,
        margins = margins(question = 1.65, yellowing = 0.8, plan = 0.3),
    ),
    VersionProfile(
        reference = reference("acacia-small@2"),
        costPerThousandTokens = 0.1,
        priorQuality = 0.8,
        millisecondsPerToken = 7.0,
        margins = margins(question = 1.65, yellowing = 0.9, plan = 0.4),
        isListedAtStart = false,
    ),
    VersionProfile(
        reference = reference("acacia-medium@1"),
        costPerThousandTokens = 0.6,
        priorQuality = 0.9,
        millisecondsPerToken = 14.0,
        margins = margins(question = 1.9, yellowing = 1.5, plan = 1.1),
    ),
    VersionProfile(
        reference = reference("acacia-medium@2"),
        costPerThousandTokens = 0.6,
        priorQuality = 0.9,
        millisecondsPerToken = 14.0,
        margins = margins(question = 1.9, yellowing = 1.5, plan = 1.1),
        isListedAtStart = false,
    ),
    VersionProfile(
        reference = reference("acacia-large@1"),
        costPerThousandTokens = 2.0,
        priorQuality = 0.96,
        millisecondsPerToken = 25.0,
        margins = margins(question = 2.2, yellowing = 2.0, plan = 1.8),
    ),
)

/** The plant advisor of the Namib Desk Greenery Association: eight runners in three failure domains. */
public val AssociationDeployment: Deployment = Deployment(
    name = DeploymentName.ASSOCIATION,
    plans = Plans,
    accounts = accounts(
        prefix = "member",
        plans = Plans,
        weights = listOf(6.0, 4.0, 3.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0),
        tokensPerMinute = 150_000,
    ),
    kinds = listOf(
        RequestKind(SUCCULENT_QUESTION, share = 0.4, sessionShare = 0.1, promptTokens = 150, answerTokens = 50),
        RequestKind(YELLOWING_PLANT, share = 0.35, sessionShare = 0.25, promptTokens = 500, answerTokens = 200),
        RequestKind(WATERING_PLAN, share = 0.25, sessionShare = 0.15, promptTokens = 5_000, answerTokens = 900),
    ),
    versions = Versions,
    runners = runners("advisor", count = 8, listOf("khomas-1", "khomas-2", "khomas-3"), Versions),
    rollouts = Rollouts(
        healthy = reference("acacia-small@2"),
        replaced = reference("acacia-small@1"),
        bad = reference("acacia-medium@2"),
        turnsBad = reference("acacia-medium@1"),
    ),
    requestsPerSecond = 3.0,
)
