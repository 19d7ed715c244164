package io.quetzalfield.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.quetzalfield.decision.RetryBudget
import io.quetzalfield.decision.RetryDelays
import io.quetzalfield.decision.RunnerChooser
import io.quetzalfield.decision.RunnerRequest
import io.quetzalfield.decision.RunnerView
import io.quetzalfield.decision.checkPermission
import io.quetzalfield.model.AttemptId
import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.InterruptionReason
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.MayHaveRun
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.model.RequestFailure
import io.quetzalfield.model.RequestPriority
import io.quetzalfield.model.RunnerId
import io.quetzalfield.store.engine.StreamOptions
import java.util.UUID
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Sends a completion to runners until one returns the whole answer or no further attempt is allowed. */
internal class CompletionAttempts(
    private val ownFailureDomain: FailureDomainId,
    private val runnerChooser: RunnerChooser,
    private val loads: RunnerLoadTracker,
    private val fleet: FleetView,
    private val runners: RunnerClient,
    private val guard: CrashGuard,
    private val retryBudget: RetryBudget,
    private val observations: ObservationBook,
    private val metrics: EntryMetrics,
    private val journal: RequestJournal,
    private val currentLists: () -> ListsSnapshot,
    private val delays: RetryDelays = RetryDelays(),
) {
    /** Sends attempts of [run] until one completes; returns the failure to report if none does. */
    fun run(run: CompletionRun): Either<RequestFailure, AttemptResult.Complete> {
        retryBudget.recordRequest(run.version)
        var failure: RequestFailure = noRunner(run)
        repeat(MAXIMUM_SENDS) { attempt ->
            if (attempt > 0 && !mayRetry(run, failure)) return finalFailure(run, failure).left()
            when (val result = attemptOnce(run)) {
                is AttemptResult.Complete -> return result.right()

                is AttemptResult.Failed -> {
                    run.noteFailure(result.failure)
                    failure = result.failure
                    if (isFinal(result.failure) ||
                        run.interruptions >= MAXIMUM_INTERRUPTIONS
                    ) {
                        return finalFailure(run, failure).left()
                    }
                }
            }
        }
        return finalFailure(run, failure).left()
    }

    private fun noRunner(run: CompletionRun) = NotRun(
        refusal = RefusalReason.NO_RUNNER,
        message = "no runner serves ${run.version}",
    )

    /** Returns the failure to report to the caller; a refusal for lack of a runner gets a retry-after time. */
    private fun finalFailure(run: CompletionRun, failure: RequestFailure): RequestFailure {
        val reported = run.failureAfter(failure)
        if (reported !is NotRun || reported.refusal !in RETRIED_REFUSALS) return reported
        return reported.copy(retryAfter = delays.after(RETRY_AFTER))
    }

    private fun isFinal(failure: RequestFailure): Boolean = when (failure) {
        is MayHaveRun -> failure.interruption == InterruptionReason.DEADLINE_PASSED
        is NotRun -> failure.refusal !in RETRIED_REFUSALS
    }

    /**
     * Returns whether another attempt may follow [failure], and spends from the retry budget if so. A retry after a
     * runner crash spends nothing: the isolation of suspects limits such retries, and other requests that ran on the
     * crashed runner must still be answered.
     */
    private fun mayRetry(run: CompletionRun, failure: RequestFailure): Boolean {
        val obstacle = when {
            !run.timeLeft.isPositive() -> RetryObstacle.DEADLINE
            run.tokensSent > 0 && loads.views().none { isResumable(run, it) } -> RetryObstacle.CANNOT_RESUME
            isRunnerCrash(failure) -> null
            !retryBudget.trySpend(run.version) -> RetryObstacle.BUDGET
            else -> null
        }
        if (obstacle != null) {
            metrics.countRetryRefused(obstacle)
            return false
        }
        val reason = retryReason(run, failure)
        metrics.countRetry(reason)
        journal.record(run.call.id, RequestEvent.Retried(reason))
        return true
    }

    private fun attemptOnce(run: CompletionRun): AttemptResult = guard.enter(run.fingerprint).fold(
        { refused -> AttemptResult.Failed(refused) },
        { mode -> if (mode == AttemptMode.ISOLATED) attemptIsolated(run) else attemptOrdinary(run) },
    )

    private fun attemptOrdinary(run: CompletionRun): AttemptResult {
        val views = loads.views()
        val runner = choose(run, views, guard.avoidedRunners())
            ?: choose(run, views, emptySet())
            ?: return AttemptResult.Failed(noRunner(run))
        return attempt(run, runner)
    }

    private fun attemptIsolated(run: CompletionRun): AttemptResult {
        val timeout = minOf(run.timeLeft, run.call.plan.firstTokenDeadlineMilliseconds.milliseconds)
        var runner: RunnerView? = null
        try {
            // Reads the views on every call: a runner that another suspect has released may have crashed meanwhile.
            runner = guard.isolate(timeout, { excluded -> choose(run, loads.views(), excluded) }, loads.views())
                ?: return AttemptResult.Failed(noRunner(run))
            metrics.countIsolatedRun()
            return attempt(run, runner)
        } finally {
            runner?.let { guard.release(it.id) }
            guard.recordAbandonedRun(run.fingerprint)
        }
    }

    /** Chooses the runner for the next attempt. A runner that was tried before is chosen only to resume an answer. */
    private fun choose(run: CompletionRun, views: List<RunnerView>, excluded: Set<RunnerId>): RunnerView? {
        val request = RunnerRequest(
            version = run.version,
            ownFailureDomain = ownFailureDomain,
            prefixHash = run.prefixHash,
            excluded = run.tried + excluded,
            priority = run.call.plan.priority,
        )
        if (run.tokensSent == 0) return runnerChooser.choose(request, views)
        val resumable = views.filter { isResumable(run, it) }
        return runnerChooser.choose(request, resumable)
            ?: runnerChooser.choose(request.copy(excluded = excluded), resumable)
    }

    private fun isResumable(run: CompletionRun, runner: RunnerView): Boolean =
        run.version in runner.versions && loads.canResume(runner.id)

    /** Returns why no attempt may be sent now, or `null` if one may. */
    private fun refusalBeforeAttempt(run: CompletionRun): NotRun? {
        if (run.timeLeft.isPositive()) return checkPermission(run)
        return NotRun(RefusalReason.DEADLINE_CANNOT_BE_MET, "no runner took the request before its deadline")
    }

    /**
     * Checks the version against the snapshot by which it was chosen and against the current one, which may have
     * withdrawn the version since.
     */
    private fun checkPermission(run: CompletionRun): NotRun? =
        listOf(run.call.snapshot, currentLists()).firstNotNullOfOrNull { snapshot ->
            checkPermission(snapshot, run.call.plan.id, run.version, isOnVersion = run.call.pin != null)
        }

    private fun attempt(run: CompletionRun, runner: RunnerView): AttemptResult {
        refusalBeforeAttempt(run)?.let { return AttemptResult.Failed(it) }
        run.tried += runner.id
        val attempt = AttemptId(UUID.randomUUID().toString())
        run.onAttempt(attempt)
        val request = run.call.body.copy(
            model = run.version.toString(),
            stream = true,
            streamOptions = StreamOptions(includeUsage = true),
            logProbabilities = true,
            resumeOffset = run.tokensSent.takeIf { it > 0 },
            priority = enginePriority(run.call.plan.priority),
        )
        val start = loads.startOf(runner.id)
        journal.record(run.call.id, RequestEvent.AttemptSent(attempt, runner.id, run.version))
        val result = loads.track(runner.id) { runners.stream(runner, attempt, request, run.timeLeft, run::onToken) }
        return when (result) {
            is AttemptResult.Complete -> {
                guard.recordAnswer(run.fingerprint)
                run.onEnd()
                result
            }

            is AttemptResult.Failed -> failed(run, runner, start, result)
                .also { journal.record(run.call.id, RequestEvent.AttemptFailed(attempt, it.failure)) }
        }
    }

    private fun failed(
        run: CompletionRun,
        runner: RunnerView,
        start: String?,
        result: AttemptResult.Failed,
    ): AttemptResult.Failed {
        if (result.isLeaving) fleet.markLeaving(InstanceId(runner.id.value))
        if (result.isUnreachable) loads.markUnreachable(runner.id)
        if (result.failure is MayHaveRun) observations.noteError(run.version)
        if (!result.isCut || !runners.hasCrashed(runner, start)) return result
        loads.markUnreachable(runner.id)
        guard.recordCrash(run.fingerprint, runner.id)
        val message = "runner ${runner.id} crashed while it ran the request"
        return result.copy(failure = MayHaveRun(InterruptionReason.RUNNER_CRASHED, message))
    }

    private fun isRunnerCrash(failure: RequestFailure): Boolean =
        failure is MayHaveRun && failure.interruption == InterruptionReason.RUNNER_CRASHED

    private fun retryReason(run: CompletionRun, failure: RequestFailure): RetryReason = when {
        failure.reason == RefusalReason.NO_RUNNER.code -> RetryReason.RUNNER_UNREACHABLE
        failure is NotRun -> RetryReason.RUNNER_REFUSED
        isRunnerCrash(failure) -> RetryReason.RUNNER_CRASHED
        run.tokensSent > 0 -> RetryReason.RESUMED
        failure.reason == InterruptionReason.CONNECTION_LOST.code -> RetryReason.CONNECTION_LOST
        else -> RetryReason.ANSWER_INCOMPLETE
    }

    private fun enginePriority(priority: RequestPriority): Int = RequestPriority.entries.size - priority.ordinal

    private companion object {
        /** Limits the attempts that may have run; refused attempts do not count, as they cost no runner any work. */
        const val MAXIMUM_INTERRUPTIONS = 3
        const val MAXIMUM_SENDS = 6
        val RETRY_AFTER: Duration = 1.seconds
        val RETRIED_REFUSALS = setOf(RefusalReason.NO_RUNNER, RefusalReason.RUNNER_REFUSED)
    }
}
