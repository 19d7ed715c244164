package io.quetzalfield.entry

import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.MayHaveRun
import io.quetzalfield.model.RequestFailure
import io.quetzalfield.model.RequestId
import io.quetzalfield.support.status.ExplainedAnswer
import io.quetzalfield.support.status.ExplainedAttempt
import io.quetzalfield.support.status.ExplainedBill
import io.quetzalfield.support.status.ExplainedCandidate
import io.quetzalfield.support.status.ExplainedFailure
import io.quetzalfield.support.status.ExplainedStep
import io.quetzalfield.support.status.RequestExplanation
import io.quetzalfield.support.status.RequestSummary

/** Returns the explanation of [request] from its [events] at [entry]. */
public fun explain(request: RequestId, entry: Incarnation, events: List<TimedRequestEvent>): RequestExplanation {
    val begin = events.firstOrNull()?.at
    val start = RequestExplanation(
        request = request,
        entry = entry,
        steps = events.map { (at, event) ->
            ExplainedStep(begin?.let { (at - it).inWholeMilliseconds } ?: 0, event.describe())
        },
    )
    return events.fold(start) { explanation, timed -> explanation.with(timed.event) }
}

/** Returns the summary of [request], with its outcome according to [events]. */
public fun summarise(request: RequestId, events: List<TimedRequestEvent>): RequestSummary {
    val received = events.firstNotNullOfOrNull { it.event as? RequestEvent.Received }
    val failed = events.firstNotNullOfOrNull { it.event as? RequestEvent.Failed }
    val outcome = when {
        failed != null -> failed.failure.reason
        events.any { it.event is RequestEvent.Answered } -> "answered"
        events.any { it.event is RequestEvent.Repeated } -> "repeated"
        else -> "running"
    }
    return RequestSummary(request, received?.account, outcome)
}

// Events without a field in the explanation appear in its steps only.
private fun RequestExplanation.with(event: RequestEvent): RequestExplanation = when (event) {
    is RequestEvent.Received -> copy(
        account = event.account,
        plan = event.plan,
        key = event.key,
        kind = event.kind,
        revision = event.revision,
    )

    is RequestEvent.Decided -> copy(
        stages = event.stages,
        candidates = event.considered.map {
            ExplainedCandidate(it.version, it.estimatedQuality, it.costPerThousandTokens, it.passedOverBecause)
        },
        isPinned = event.isPinned,
    )

    is RequestEvent.AttemptSent -> copy(
        attempts =
        attempts + ExplainedAttempt(event.attempt, event.runner, event.version),
    )

    is RequestEvent.AttemptFailed -> copy(
        attempts = attempts.map {
            if (it.attempt == event.attempt) it.copy(failure = event.failure.toExplained()) else it
        },
    )

    is RequestEvent.Retried -> copy(retries = retries + event.reason.label)

    is RequestEvent.Answered -> copy(answer = ExplainedAnswer(event.version, event.tokens))

    is RequestEvent.Billed -> copy(bill = ExplainedBill(event.priceMicros, event.isBilled))

    is RequestEvent.Failed -> copy(failure = event.failure.toExplained())

    else -> this
}

private fun RequestEvent.describe(): String = when (this) {
    is RequestEvent.Received -> "received from $account on plan $plan, decided against lists revision $revision"

    is RequestEvent.Decided ->
        if (isPinned) "the session keeps ${stages.joinToString()}" else "the route is ${stages.joinToString()}"

    is RequestEvent.AttemptSent -> "attempt $attempt of $version sent to $runner"

    is RequestEvent.AttemptFailed -> "attempt $attempt failed: ${failure.reason}, ${failure.message}"

    is RequestEvent.Retried -> "another attempt follows: ${reason.label}"

    is RequestEvent.Escalated -> "the answer of $from was not accepted, its score is $score; $to answers"

    is RequestEvent.Answered -> "the whole answer of $version arrived, $tokens tokens"

    is RequestEvent.Billed -> if (isBilled) "billed, $priceMicros millionths" else "the key was billed before"

    is RequestEvent.Repeated -> "the kept answer of $version was given again; nothing was run or billed"

    is RequestEvent.Failed -> "ended without a whole answer: ${failure.reason}, ${failure.message}"

    else -> "$this"
}

private fun RequestFailure.toExplained(): ExplainedFailure = ExplainedFailure(reason, message, this is MayHaveRun)
