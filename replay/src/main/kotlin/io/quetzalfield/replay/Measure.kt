package io.quetzalfield.replay

/**
 * A measure of a replay that is shown in tables and plots.
 *
 * @property title heading, with the unit if there is one.
 * @property decimals digits after the decimal point.
 */
public enum class Measure(
    public val title: String,
    public val decimals: Int,
    public val value: (ReplayMeasures) -> Double,
) {
    COST("cost per accepted answer", 5, { it.costPerAcceptedAnswer }),
    WARM_COST("cost per accepted answer after warm-up", 5, { it.warmCostPerAcceptedAnswer }),
    PASS_SHARE("share of answers that pass", 4, { it.passShare }),
    WINDOWS("share of windows at the quality target", 4, { it.windowsAtTarget }),
    WARM_WINDOWS("share of windows at the quality target after warm-up", 4, { it.warmWindowsAtTarget }),
    FIRST_TOKEN_P50("first token p50 (ms)", 0, { it.firstToken.p50.toDouble() }),
    FIRST_TOKEN_P95("first token p95 (ms)", 0, { it.firstToken.p95.toDouble() }),
    FIRST_TOKEN_P99("first token p99 (ms)", 0, { it.firstToken.p99.toDouble() }),
    TOTAL_P50("whole answer p50 (ms)", 0, { it.total.p50.toDouble() }),
    TOTAL_P95("whole answer p95 (ms)", 0, { it.total.p95.toDouble() }),
    TOTAL_P99("whole answer p99 (ms)", 0, { it.total.p99.toDouble() }),
    BAD_VERSION_ANSWERS("answers by a bad version", 1, { it.badVersionAnswers.toDouble() }),
    BAD_ROLLOUT_ANSWERS("answers by a bad version that is rolled out", 1, { it.badRolloutAnswers.toDouble() }),
    HEALTHY_STOPS("healthy versions stopped", 2, { it.healthyStops.toDouble() }),
    ESCALATED("share of answers by a second stage", 4, { it.escalatedShare }),
    LATE("answers after the deadline", 1, { it.lateAnswers.toDouble() }),
    GOODPUT("good answers in time per second", 3, { it.goodput }),
    REFUSED("refused requests", 1, { it.refusals.values.sum().toDouble() }),
    SECOND_MOST_REFUSED("refused share of the account second in refusals", 4, { secondMostRefusedShare(it) }),
    INTERRUPTED("interrupted requests", 1, { it.interruptions.values.sum().toDouble() }),
}

/** When one account floods, this is the largest refused share among the accounts that stay within their fair share. */
private fun secondMostRefusedShare(measures: ReplayMeasures): Double =
    measures.refusedShareByAccount.values.sortedDescending().getOrElse(1) { 0.0 }
