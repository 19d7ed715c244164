package io.quetzalfield.replay

import io.quetzalfield.model.Plan
import io.quetzalfield.model.PlanId
import io.quetzalfield.model.RequestPriority

private const val QUICK_QUESTION = "quick-question"
private const val DRAFT_NOTE = "draft-note"
private const val COMPARE_HISTORIES = "compare-histories"

private fun margins(quick: Double, draft: Double, compare: Double): Map<String, Double> =
    mapOf(QUICK_QUESTION to quick, DRAFT_NOTE to draft, COMPARE_HISTORIES to compare)

private val Plans = listOf(
    Plan(
        id = PlanId("bench"),
        qualityTarget = 0.9,
        priority = RequestPriority.INTERACTIVE,
        firstTokenDeadlineMilliseconds = 2_000,
        deadlineMilliseconds = 30_000,
    ),
    Plan(
        id = PlanId("workshop"),
        qualityTarget = 0.85,
        firstTokenDeadlineMilliseconds = 5_000,
        deadlineMilliseconds = 60_000,
    ),
)

private val Versions = listOf(
    VersionProfile(
        reference = reference("needle-small@1"),
        costPerThousandTokens = 0.2,
        priorQuality = 0.85,
        millisecondsPerToken = 8.0,
        margins = margins(quick = 1.7, draft = 0.9, compare = 0.4),
    ),
    VersionProfile(
        reference = reference("needle-small@2"),
        costPerThousandTokens = 0.2,
        priorQuality = 0.85,
        millisecondsPerToken = 8.0,
        margins = margins(quick = 1.75, draft = 1.0, compare = 0.5),
        isListedAtStart = false,
    ),
    VersionProfile(
        reference = reference("needle-medium@1"),
        costPerThousandTokens = 1.0,
        priorQuality = 0.92,
        millisecondsPerToken = 15.0,
        margins = margins(quick = 1.9, draft = 1.55, compare = 1.2),
    ),
    VersionProfile(
        reference = reference("needle-medium@2"),
        costPerThousandTokens = 1.0,
        priorQuality = 0.92,
        millisecondsPerToken = 15.0,
        margins = margins(quick = 1.9, draft = 1.55, compare = 1.2),
        isListedAtStart = false,
    ),
    VersionProfile(
        reference = reference("needle-large@1"),
        costPerThousandTokens = 4.0,
        priorQuality = 0.97,
        millisecondsPerToken = 30.0,
        margins = margins(quick = 2.3, draft = 2.1, compare = 1.9),
    ),
)

/** The calibration assistant of Kalkkila Ohjelmistotalo: six runners in four failure domains. */
public val KalkkilaDeployment: Deployment = Deployment(
    name = DeploymentName.KALKKILA,
    plans = Plans,
    accounts = accounts(
        prefix = "workshop",
        plans = Plans,
        weights = listOf(5.0, 4.0, 3.0, 1.0, 1.0, 1.0, 1.0, 1.0, 0.5, 0.5),
        tokensPerMinute = 120_000,
    ),
    kinds = listOf(
        RequestKind(QUICK_QUESTION, share = 0.5, sessionShare = 0.15, promptTokens = 200, answerTokens = 60),
        RequestKind(DRAFT_NOTE, share = 0.3, sessionShare = 0.25, promptTokens = 800, answerTokens = 250),
        RequestKind(COMPARE_HISTORIES, share = 0.2, sessionShare = 0.25, promptTokens = 3_000, answerTokens = 400),
    ),
    versions = Versions,
    runners = runners("assistant", count = 6, listOf("fi-1", "fi-2", "fi-3", "fi-4"), Versions),
    rollouts = Rollouts(
        healthy = reference("needle-small@2"),
        replaced = reference("needle-small@1"),
        bad = reference("needle-medium@2"),
        turnsBad = reference("needle-medium@1"),
    ),
    requestsPerSecond = 4.0,
)
