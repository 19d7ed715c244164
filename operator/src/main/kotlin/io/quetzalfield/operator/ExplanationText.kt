package io.quetzalfield.operator

import com.github.ajalt.mordant.rendering.TextStyles
import io.quetzalfield.support.status.ExplainedAttempt
import io.quetzalfield.support.status.ExplainedBill
import io.quetzalfield.support.status.ExplainedCandidate
import io.quetzalfield.support.status.ExplainedFailure
import io.quetzalfield.support.status.RequestExplanation

/** The explanation as human-readable lines. */
internal fun RequestExplanation.toLines(): List<String> = buildList {
    add(TextStyles.bold("request $request at $entry"))
    add("account $account, plan $plan, kind $kind, key $key, lists revision $revision")
    add("stages: ${stages.joinToString().ifEmpty { "none" }}${if (isPinned) ", kept by the session" else ""}")
    addAll(section("candidates", candidates.map { it.toLine() }))
    addAll(section("attempts", attempts.map { it.toLine() }))
    if (retries.isNotEmpty()) add("retries: ${retries.joinToString()}")
    answer?.let { add("answer: ${it.tokens} tokens of ${it.version}") }
    bill?.let { add("bill: ${it.toText()}") }
    failure?.let { add("failure: ${it.toText()}") }
    addAll(section("steps", steps.map { "${it.atMilliseconds} ms: ${it.what}" }))
}

private fun section(name: String, lines: List<String>): List<String> =
    if (lines.isEmpty()) emptyList() else listOf("$name:") + lines.map { "  $it" }

private fun ExplainedCandidate.toLine(): String =
    "$version: quality $estimatedQuality, cost $costPerThousandTokens per 1,000 tokens, " +
        (passedOverBecause?.let { "passed over: $it" } ?: "taken")

private fun ExplainedAttempt.toLine(): String = "$attempt of $version at $runner: ${failure?.toText() ?: "not failed"}"

private fun ExplainedBill.toText(): String =
    if (isBilled) "$priceMicros millionths" else "none, the key was billed before"

private fun ExplainedFailure.toText(): String = "$reason, ${if (mayHaveRun) "may have run" else "not run"}: $message"
