package io.quetzalfield.replay

import io.quetzalfield.model.ClientAccount
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.SessionId
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.max
import kotlin.math.roundToInt
import kotlin.math.roundToLong
import kotlin.math.sqrt
import kotlin.random.Random
import kotlin.random.asJavaRandom

/**
 * Settings of a generated trace.
 *
 * @property requests expected number of requests.
 * @property rateFactor the request rate as a multiple of the deployment's usual rate; allowances are scaled by it.
 * @property hasIncidents whether the trace has roll-outs, faults and bursts.
 * @property isFlood whether the first account causes all of the additional rate; allowances are raised so that they do
 * not limit it.
 */
public data class GeneratorSettings(
    val seed: Long,
    val requests: Int = 30_000,
    val rateFactor: Double = 1.0,
    val hasIncidents: Boolean = true,
    val isFlood: Boolean = false,
)

/** Generates a trace of [deployment]; the same [settings], including the seed, give the same trace. */
public fun generateTrace(deployment: Deployment, settings: GeneratorSettings): Trace =
    TraceGenerator(deployment.withAllowances(settings), settings).generate()

private fun Deployment.withAllowances(settings: GeneratorSettings): Deployment {
    val factor = settings.rateFactor * (if (settings.isFlood) FLOOD_ALLOWANCE_FACTOR else 1.0)
    return copy(accounts = accounts.map { it.copy(tokensPerMinute = (it.tokensPerMinute * factor).toLong()) })
}

private const val FLOOD_ALLOWANCE_FACTOR = 4.0

private class TraceGenerator(private val deployment: Deployment, private val settings: GeneratorSettings) {
    private val random = Random(settings.seed)
    private val gaussian = random.asJavaRandom()
    private val durationMilliseconds = deployment.duration(settings.requests).inWholeMilliseconds / settings.rateFactor
    private val timeline = ListsTimeline(deployment)
    private val initialLists = timeline.initial()
    private val incidents = if (settings.hasIncidents) incidents() else emptyList()
    private val badVersions = incidents.filterIsInstance<TraceBadVersion>()

    fun generate(): Trace {
        val header = TraceHeader(
            formatVersion = TRACE_FORMAT_VERSION,
            deployment = deployment.name,
            lists = initialLists,
            runners = deployment.runners,
            millisecondsPerToken = deployment.versions.associate { it.reference to it.millisecondsPerToken },
        )
        val events = incidents + runnerReports() + requests()
        return Trace(header, events.sortedBy { it.timeMilliseconds })
    }

    private fun at(share: Double): Long = (share * durationMilliseconds).roundToLong()

    private fun incidents(): List<TraceEvent> {
        val changes = timeline.changes().map { (share, lists) -> TraceListsChange(at(share), lists) }
        val rollouts = deployment.rollouts
        return changes + listOf(
            TraceBadVersion(at(ListsTimeline.BAD_STARTS), rollouts.bad, at(ListsTimeline.BAD_ENDS)),
            TraceBadVersion(at(BAD_FROM_SHARE), rollouts.turnsBad, at(BAD_UNTIL_SHARE)),
            TraceRunnerLoss(at(RUNNER_LOST_SHARE), deployment.runners.random(random).id, at(RUNNER_BACK_SHARE)),
        )
    }

    private fun runnerReports(): List<TraceEvent> = deployment.runners.flatMap { runner ->
        generateSequence(random.nextLong(REPORT_INTERVAL_MILLISECONDS)) { it + REPORT_INTERVAL_MILLISECONDS }
            .takeWhile { it < durationMilliseconds }
            .map { TraceRunnerReport(it, runner.id, random.nextLong(MAXIMUM_REPORT_DELAY_MILLISECONDS)) }
            .toList()
    }

    private fun requests(): List<TraceEvent> = buildList {
        var time = 0.0
        var conversation = 0
        val meanLength = deployment.kinds.sumOf { it.share * (1 + it.sessionShare * (MEAN_SESSION_REQUESTS - 1)) }
        val conversationsPerSecond = deployment.requestsPerSecond * settings.rateFactor / meanLength
        while (time < durationMilliseconds) {
            val rate = conversationsPerSecond * burstFactor(time / durationMilliseconds)
            time += exponential(MILLISECONDS_PER_SECOND / rate)
            addAll(conversation(time, conversation++))
        }
    }.filter { it.timeMilliseconds < durationMilliseconds }

    private fun burstFactor(share: Double): Double = when {
        !settings.hasIncidents -> 1.0
        BURSTS.any { share in it } -> BURST_FACTOR
        else -> 1.0
    }

    private fun conversation(start: Double, number: Int): List<TraceRequest> {
        val kind = weighted(deployment.kinds) { it.share }
        val account = weighted(deployment.accounts, ::requestWeight)
        val isSession = random.nextDouble() < kind.sessionShare
        val count = if (isSession) sessionLength() else 1
        val prefix = if (isSession) random.nextLong() else random.nextLong(SHARED_PREFIXES)
        val session = SessionId("session-$number").takeIf { isSession }
        var time = start
        return List(count) {
            request(time, kind, account, session, prefix)
                .also { time += MINIMUM_THINK_MILLISECONDS + exponential(MEAN_THINK_MILLISECONDS) }
        }
    }

    /** The weight of the requests of [account]; without a flood it is the weight of the account. */
    private fun requestWeight(account: ClientAccount): Double {
        if (!settings.isFlood || account != deployment.accounts.first()) return account.weight
        return account.weight + deployment.accounts.sumOf { it.weight } * (settings.rateFactor - 1)
    }

    private fun request(
        time: Double,
        kind: RequestKind,
        account: ClientAccount,
        session: SessionId?,
        prefix: Long,
    ): TraceRequest {
        val milliseconds = time.roundToLong()
        val isRated = random.nextDouble() < RATED_SHARE
        val ratingDelay = exponential(MEAN_RATING_DELAY_MILLISECONDS).roundToLong()
        return TraceRequest(
            timeMilliseconds = milliseconds,
            account = account.id,
            session = session,
            kind = kind.name,
            prefix = prefix,
            promptTokens = length(kind.promptTokens),
            answerTokens = length(kind.answerTokens),
            outcomes = outcomes(kind.name, milliseconds),
            ratingDelayMilliseconds = ratingDelay.takeIf { isRated },
        )
    }

    /** Draws the outcome of each version. All share the difficulty of the request, so that their failures correlate. */
    private fun outcomes(kind: String, time: Long): Map<ModelVersionReference, AnswerOutcome> {
        val difficulty = gaussian.nextGaussian()
        return deployment.versions.associate { version ->
            val versionNoise = gaussian.nextGaussian()
            val noise = sqrt(COMMON_VARIANCE) * difficulty + sqrt(1 - COMMON_VARIANCE) * versionNoise
            val failsByFault = isBad(version.reference, time) && random.nextDouble() < BAD_FAILURE_SHARE
            val passes = noise < version.margins.getValue(kind) && !failsByFault
            version.reference to AnswerOutcome(passes, score(passes))
        }
    }

    private fun score(passes: Boolean): Double {
        val mean = if (passes) deployment.scoreSeparation / 2 else -deployment.scoreSeparation / 2
        val score = 1 / (1 + exp(-(mean + gaussian.nextGaussian())))
        return (score * SCORE_STEPS).roundToInt() / SCORE_STEPS
    }

    private fun isBad(version: ModelVersionReference, time: Long): Boolean =
        badVersions.any { it.version == version && time in it.timeMilliseconds until it.untilMilliseconds }

    private fun sessionLength(): Int = 2 + exponential(MEAN_SESSION_REQUESTS - 2).toInt()

    /** Draws a length in tokens from a log-normal distribution with median [mean]. */
    private fun length(mean: Int): Int = max(1, (mean * exp(LENGTH_SPREAD * gaussian.nextGaussian())).roundToInt())

    private fun exponential(mean: Double): Double = -mean * ln(1 - random.nextDouble())

    private fun <T> weighted(choices: List<T>, weight: (T) -> Double): T {
        var remaining = random.nextDouble() * choices.sumOf(weight)
        return choices.firstOrNull { choice ->
            remaining -= weight(choice)
            remaining < 0
        } ?: choices.last()
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
        const val BAD_FROM_SHARE = 0.7
        const val BAD_UNTIL_SHARE = 0.75
        const val RUNNER_LOST_SHARE = 0.85
        const val RUNNER_BACK_SHARE = 0.9
        val BURSTS = listOf(0.45..0.47, 0.92..0.94)
        const val BURST_FACTOR = 2.0
        const val BAD_FAILURE_SHARE = 0.5
        const val REPORT_INTERVAL_MILLISECONDS = 2_000L
        const val MAXIMUM_REPORT_DELAY_MILLISECONDS = 1_000L
        const val MEAN_SESSION_REQUESTS = 4.0
        const val MINIMUM_THINK_MILLISECONDS = 5_000.0
        const val MEAN_THINK_MILLISECONDS = 30_000.0
        const val SHARED_PREFIXES = 200L
        const val RATED_SHARE = 0.8
        const val MEAN_RATING_DELAY_MILLISECONDS = 5_000.0
        const val COMMON_VARIANCE = 0.5
        const val SCORE_STEPS = 1_000.0
        const val LENGTH_SPREAD = 0.4
    }
}
