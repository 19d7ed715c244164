package io.quetzalfield.replay

/** Formats [summaries] as a Markdown table: one row per measure and per refusal reason, one column per policy. */
public fun replayTable(summaries: List<PolicySummary>): String = buildString {
    appendLine(row("measure", summaries.map { it.policy }))
    appendLine(row("---", summaries.map { "---:" }))
    for (measure in Measure.entries) appendLine(row(measure.title, summaries.map { cell(it, measure) }))
    appendTenths("cost per accepted answer", summaries) { it.costByTenth }
    appendTenths("share of answers that pass", summaries) { it.passShareByTenth }
    val reasons = summaries.flatMap { it.refusals.keys }.distinct().sorted()
    for (reason in reasons) {
        appendLine(row("refused: ${reason.code}", summaries.map { "%.1f".format(it.refusals[reason] ?: 0.0) }))
    }
}

private fun StringBuilder.appendTenths(
    title: String,
    summaries: List<PolicySummary>,
    values: (PolicySummary) -> List<Double>,
) {
    for (index in values(summaries.first()).indices) {
        appendLine(row("$title, tenth ${index + 1}", summaries.map { "%.4f".format(values(it)[index]) }))
    }
}

private fun row(title: String, cells: List<String>): String = "| $title | ${cells.joinToString(" | ")} |"

private fun cell(summary: PolicySummary, measure: Measure): String {
    val value = summary.measures.getValue(measure)
    val format = "%.${measure.decimals}f"
    val mean = format.format(value.mean)
    return if (summary.seeds < 2) mean else "$mean ± ${format.format(value.halfWidth)}"
}
