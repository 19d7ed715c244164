package io.quetzalfield.replay

import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.InterruptionReason
import io.quetzalfield.model.Plan
import io.quetzalfield.model.PlanId
import io.quetzalfield.model.RefusalReason
import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram
import java.util.EnumMap
import kotlin.time.Duration

/** Percentiles of a latency, in milliseconds. */
@Serializable
public data class LatencySummary(val p50: Long, val p95: Long, val p99: Long)

/**
 * The measures of one policy on one trace.
 *
 * @property costPerAcceptedAnswer cost of all stages divided by the answers that pass.
 * @property warmCostPerAcceptedAnswer the same without the first fifth of the trace.
 * @property passShare share of answers that pass.
 * @property windowsAtTarget share of the windows of 1,000 consecutive answers of a plan that meet its quality target.
 * @property warmWindowsAtTarget the same without the first fifth of the trace.
 * @property badVersionAnswers answers by a version while it was bad.
 * @property badRolloutAnswers those of them by a version that was not in force at the start of the trace.
 * @property healthyStops number of versions that the policy stopped although they were never bad.
 * @property lateAnswers answers that ended after their plan's deadline.
 * @property refusedShareByAccount share of the requests of each account that were refused.
 * @property costByTenth cost per accepted answer in each tenth of the trace's duration.
 * @property passShareByTenth share of answers that pass in each tenth.
 * @property goodput answers that pass in time, per second.
 */
@Serializable
public data class ReplayMeasures(
    val policy: String,
    val requests: Int,
    val answers: Int,
    val costPerAcceptedAnswer: Double,
    val warmCostPerAcceptedAnswer: Double,
    val passShare: Double,
    val windowsAtTarget: Double,
    val warmWindowsAtTarget: Double,
    val firstToken: LatencySummary,
    val total: LatencySummary,
    val badVersionAnswers: Int,
    val badRolloutAnswers: Int,
    val healthyStops: Int,
    val escalatedShare: Double,
    val lateAnswers: Int,
    val goodput: Double,
    val refusedShareByAccount: Map<ClientAccountId, Double>,
    val costByTenth: List<Double>,
    val passShareByTenth: List<Double>,
    val refusals: Map<RefusalReason, Int>,
    val interruptions: Map<InterruptionReason, Int>,
)

/** An answer that the caller received. */
internal class MeasuredAnswer(
    val plan: Plan,
    val arrival: Duration,
    val passes: Boolean,
    val isByBadVersion: Boolean,
    val isByNewVersion: Boolean,
    val isEscalated: Boolean,
    val untilFirstToken: Duration,
    val untilEnd: Duration,
)

/** Collects the measures of one replay. */
internal class MeasureCollector(private val policy: String, trace: Trace) {
    private val duration = trace.events.lastOrNull()?.timeMilliseconds ?: 0
    private val warmFromMilliseconds = (duration * WARM_UP_SHARE).toLong()
    private val firstTokens = Histogram(HISTOGRAM_DIGITS)
    private val totals = Histogram(HISTOGRAM_DIGITS)
    private val all = Tally()
    private val warm = Tally()
    private val tenths = List(TENTHS) { Tally() }
    private val refusals = EnumMap<RefusalReason, Int>(RefusalReason::class.java)
    private val interruptions = EnumMap<InterruptionReason, Int>(InterruptionReason::class.java)
    private val requestsByAccount = HashMap<ClientAccountId, Int>()
    private val refusalsByAccount = HashMap<ClientAccountId, Int>()
    private var requests = 0
    private var badVersionAnswers = 0
    private var badRolloutAnswers = 0
    private var escalated = 0
    private var late = 0
    private var good = 0

    private class Tally {
        var cost = 0.0
        var answers = 0
        var passes = 0
        val passesByPlan = HashMap<PlanId, MutableList<Boolean>>()
        val targets = HashMap<PlanId, Double>()

        fun add(answer: MeasuredAnswer) {
            answers++
            if (answer.passes) passes++
            targets[answer.plan.id] = answer.plan.qualityTarget
            passesByPlan.getOrPut(answer.plan.id, ::mutableListOf) += answer.passes
        }

        fun passShare(): Double = passes.toDouble() / maxOf(answers, 1)

        fun costPerPass(): Double = if (passes == 0) 0.0 else cost / passes

        /** Share of the sliding windows, 100 answers apart, that meet the quality target of their plan. */
        fun windowsAtTarget(): Double {
            val windows = passesByPlan.flatMap { (plan, passes) ->
                passes.windowed(WINDOW_ANSWERS, WINDOW_STEP) { window ->
                    window.count { it } >= targets.getValue(plan) * WINDOW_ANSWERS
                }
            }
            return if (windows.isEmpty()) 0.0 else windows.count { it }.toDouble() / windows.size
        }
    }

    fun onRequest(account: ClientAccountId) {
        requests++
        requestsByAccount.merge(account, 1, Int::plus)
    }

    fun onCost(arrival: Duration, cost: Double) {
        all.cost += cost
        if (isWarm(arrival)) warm.cost += cost
        tenth(arrival).cost += cost
    }

    fun onAnswer(answer: MeasuredAnswer) {
        all.add(answer)
        if (isWarm(answer.arrival)) warm.add(answer)
        tenth(answer.arrival).add(answer)
        firstTokens.recordValue(answer.untilFirstToken.inWholeMilliseconds)
        totals.recordValue(answer.untilEnd.inWholeMilliseconds)
        val isLate = answer.untilEnd.inWholeMilliseconds > answer.plan.deadlineMilliseconds
        if (isLate) late++
        if (answer.passes && !isLate) good++
        if (answer.isByBadVersion) badVersionAnswers++
        if (answer.isByBadVersion && answer.isByNewVersion) badRolloutAnswers++
        if (answer.isEscalated) escalated++
    }

    fun onRefusal(account: ClientAccountId, reason: RefusalReason) {
        refusalsByAccount.merge(account, 1, Int::plus)
        refusals.merge(reason, 1, Int::plus)
    }

    fun onInterruption(reason: InterruptionReason) {
        interruptions.merge(reason, 1, Int::plus)
    }

    fun result(healthyStops: Int): ReplayMeasures = ReplayMeasures(
        policy = policy,
        requests = requests,
        answers = all.answers,
        costPerAcceptedAnswer = all.costPerPass(),
        warmCostPerAcceptedAnswer = warm.costPerPass(),
        passShare = all.passShare(),
        windowsAtTarget = all.windowsAtTarget(),
        warmWindowsAtTarget = warm.windowsAtTarget(),
        firstToken = summary(firstTokens),
        total = summary(totals),
        badVersionAnswers = badVersionAnswers,
        badRolloutAnswers = badRolloutAnswers,
        healthyStops = healthyStops,
        escalatedShare = escalated.toDouble() / maxOf(all.answers, 1),
        lateAnswers = late,
        goodput = good * MILLISECONDS_PER_SECOND / maxOf(duration, 1),
        refusedShareByAccount = requestsByAccount.mapValues { (account, count) ->
            (refusalsByAccount[account] ?: 0).toDouble() / count
        },
        costByTenth = tenths.map { it.costPerPass() },
        passShareByTenth = tenths.map { it.passShare() },
        refusals = refusals.toMap(),
        interruptions = interruptions.toMap(),
    )

    private fun tenth(arrival: Duration): Tally {
        val index = (arrival.inWholeMilliseconds * TENTHS / maxOf(duration, 1)).toInt()
        return tenths[index.coerceAtMost(TENTHS - 1)]
    }

    private fun isWarm(arrival: Duration): Boolean = arrival.inWholeMilliseconds >= warmFromMilliseconds

    private fun summary(histogram: Histogram): LatencySummary = LatencySummary(
        p50 = histogram.getValueAtPercentile(MEDIAN),
        p95 = histogram.getValueAtPercentile(PERCENTILE_95),
        p99 = histogram.getValueAtPercentile(PERCENTILE_99),
    )

    private companion object {
        const val MEDIAN = 50.0
        const val PERCENTILE_95 = 95.0
        const val PERCENTILE_99 = 99.0
        const val WARM_UP_SHARE = 0.2
        const val TENTHS = 10
        const val HISTOGRAM_DIGITS = 3
        const val WINDOW_ANSWERS = 1_000
        const val WINDOW_STEP = 100
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
