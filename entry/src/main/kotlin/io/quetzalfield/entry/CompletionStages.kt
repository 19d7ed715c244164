package io.quetzalfield.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.quetzalfield.decision.Escalation
import io.quetzalfield.decision.Route
import io.quetzalfield.model.InterruptionReason
import io.quetzalfield.model.MayHaveRun
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.model.RequestFailure
import kotlin.time.TimeMark

/** A stage that returned the whole answer. */
internal class AnsweredStage(val run: CompletionRun, val result: AttemptResult.Complete)

/**
 * Runs the stages of a route. The second stage runs only if the answer of the first does not pass its gate, or if the
 * first fails before anything was sent to the caller.
 */
internal class CompletionStages(
    private val attempts: CompletionAttempts,
    private val answers: AnswerObserver,
    private val metrics: EntryMetrics,
    private val journal: RequestJournal,
) {
    /** Runs [call] on [route]; [started] is the time of its admission. */
    fun run(
        call: CompletionCall,
        route: Route,
        sink: CompletionSink,
        started: TimeMark,
    ): Either<RequestFailure, AnsweredStage> {
        val first = CompletionRun(call, route.stages.first(), sink, started, gate = route.gate)
        if (route.stages.size == 1) return runStage(first)
        return try {
            runStage(first).fold(
                { failure ->
                    if (canReplace(first, failure)) {
                        runStage(replacementRun(first, route, failure, sink))
                    } else {
                        failure.left()
                    }
                },
                { it.right() },
            )
        } catch (rejected: AnswerRejectedException) {
            runStage(escalationRun(first, route, sink, rejected.score))
        }
    }

    /** Returns whether the second stage may replace a first stage that failed before it sent anything to the caller. */
    private fun canReplace(first: CompletionRun, failure: RequestFailure): Boolean =
        first.tokensSent == 0 && failure.reason in REPLACEABLE_FAILURES

    private fun replacementRun(
        first: CompletionRun,
        route: Route,
        failure: RequestFailure,
        sink: CompletionSink,
    ): CompletionRun {
        val next = route.stages[1]
        journal.record(first.call.id, RequestEvent.Escalated(first.version, score = null, to = next))
        return CompletionRun(first.call, next, sink, first.started).apply { noteFailure(failure) }
    }

    private fun runStage(run: CompletionRun): Either<RequestFailure, AnsweredStage> =
        attempts.run(run).map { AnsweredStage(run, it) }

    private fun escalationRun(first: CompletionRun, route: Route, sink: CompletionSink, score: Double?): CompletionRun {
        val next = route.stages[1]
        metrics.countEscalation(first.version.toString())
        journal.record(first.call.id, RequestEvent.Escalated(first.version, score, next))
        score?.let { answers.onRejectedScore(first, it) }
        val escalation = score?.let { Escalation(first.version, it) }
        val run = CompletionRun(first.call, next, sink, first.started, escalation = escalation)
        // The first stage has run, so no later refusal may state that the request has not run.
        run.noteFailure(
            MayHaveRun(InterruptionReason.ANSWER_INCOMPLETE, "the answer of ${first.version} was not accepted"),
        )
        return run
    }

    private companion object {
        val REPLACEABLE_FAILURES = setOf(
            RefusalReason.NO_RUNNER.code,
            RefusalReason.RUNNER_REFUSED.code,
            InterruptionReason.CONNECTION_LOST.code,
            InterruptionReason.ANSWER_INCOMPLETE.code,
        )
    }
}
