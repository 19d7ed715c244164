package io.quetzalfield.entry

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.quetzalfield.decision.HomeScope
import io.quetzalfield.decision.Route
import io.quetzalfield.decision.RouteChooser
import io.quetzalfield.decision.RouteRequest
import io.quetzalfield.decision.RunnerChooser
import io.quetzalfield.decision.RunnerRequest
import io.quetzalfield.decision.RunnerView
import io.quetzalfield.decision.checkPermission
import io.quetzalfield.model.AttemptId
import io.quetzalfield.model.ClientAccount
import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.MayHaveRun
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.Plan
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.model.RequestFailure
import io.quetzalfield.model.RequestId
import io.quetzalfield.model.RequestKey
import io.quetzalfield.model.RunnerId
import io.quetzalfield.platform.engine.ChatCompletionRequest
import io.quetzalfield.platform.engine.StreamOptions
import io.quetzalfield.platform.engine.TokenUsage
import java.util.UUID
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * A completion that a caller asked for, decided against one [snapshot].
 *
 * @property pin the version that the request's session keeps.
 * @property isKeyedByCaller whether the caller chose [key], so that the request may be sent again under it.
 */
public data class CompletionCall(
    val id: RequestId,
    val snapshot: ListsSnapshot,
    val account: ClientAccount,
    val plan: Plan,
    val key: RequestKey,
    val route: RouteRequest,
    val pin: SessionPin?,
    val body: ChatCompletionRequest,
    val isKeyedByCaller: Boolean = false,
) {
    /** What the home of the request is chosen by. */
    val homeScope: HomeScope get() = HomeScope.of(key, pin?.session)
}

/** Takes a completion while it runs. */
public interface CompletionSink {
    /** The answer will come from [version]; called at most once, before the first token. */
    public fun onStart(version: ModelVersionReference)

    /** The next token of the answer. */
    public fun onToken(text: String)
}

/** A whole answer and what it was billed. */
public data class CompletionReport(
    val version: ModelVersionReference,
    val usage: TokenUsage,
    val finishReason: String,
    val priceMicros: Long,
    val isBilled: Boolean,
)

/** Decides, sends, retries, checks and bills completions. */
public class CompletionService(
    private val ownFailureDomain: FailureDomainId,
    private val routeChooser: RouteChooser,
    private val runnerChooser: RunnerChooser,
    private val loads: RunnerLoadTracker,
    private val fleet: FleetView,
    private val runners: RunnerClient,
    private val ledger: BillLedger,
    private val metrics: EntryMetrics,
    private val currentLists: () -> ListsSnapshot,
    private val journal: RequestJournal = RequestJournal.None,
    private val timeSource: TimeSource = TimeSource.Monotonic,
) {
    /** One run of a completion: what was sent to the caller and which runners were tried. */
    private inner class Run(val call: CompletionCall, val version: ModelVersionReference, val sink: CompletionSink) {
        val started: TimeMark = timeSource.markNow()
        val deadline: Duration = call.plan.deadlineMilliseconds.milliseconds
        val tried = mutableSetOf<RunnerId>()
        var tokensSent = 0
        var untilFirstToken: Duration? = null

        val timeLeft: Duration get() = deadline - started.elapsedNow()

        fun deadlineMissed(): NotRun =
            NotRun(RefusalReason.DEADLINE_CANNOT_BE_MET, "no runner took the request within $deadline")

        fun onToken(text: String) {
            if (tokensSent == 0) {
                untilFirstToken = started.elapsedNow()
                sink.onStart(version)
            }
            tokensSent++
            sink.onToken(text)
        }
    }

    /** Chooses the version that a new session is to keep. */
    public fun chooseRoute(request: RouteRequest, snapshot: ListsSnapshot): Either<NotRun, Route> =
        routeChooser.choose(request, snapshot, emptySet())

    /** Runs [call]; the answer goes to [sink] as it comes. */
    public fun complete(call: CompletionCall, sink: CompletionSink): Either<RequestFailure, CompletionReport> =
        received(call)
            .flatMap(::chooseVersion)
            .flatMap { version -> runAttempts(Run(call, version, sink)) }
            .onLeft { failure -> noteFailure(call, failure) }

    private fun received(call: CompletionCall): Either<RequestFailure, CompletionCall> {
        val event = RequestEvent.Received(
            account = call.account.id,
            plan = call.plan.id,
            key = call.key,
            revision = call.snapshot.revision,
            kind = call.route.kind,
        )
        journal.record(call.id, event)
        return call.right()
    }

    private fun noteFailure(call: CompletionCall, failure: RequestFailure) {
        metrics.countFailure(failure)
        journal.record(call.id, RequestEvent.Failed(failure))
    }

    private fun chooseVersion(call: CompletionCall): Either<RequestFailure, ModelVersionReference> {
        val pin = call.pin
        val route = if (pin ==
            null
        ) {
            chooseRoute(call.route, call.snapshot)
        } else {
            Route(listOf(pin.version), emptyList()).right()
        }
        return route
            .onRight { journal.record(call.id, RequestEvent.Decided(it.stages, it.considered, isPinned = pin != null)) }
            .map { it.stages.first() }
    }

    private fun runAttempts(run: Run): Either<RequestFailure, CompletionReport> {
        var lastFailure: RequestFailure = NotRun(RefusalReason.NO_RUNNER, "no runner serves ${run.version}")
        repeat(MAXIMUM_ATTEMPTS) {
            obstacle(run)?.let { return lastFailure.orIfNotRun(it).left() }
            val runner = chooseRunner(run) ?: return lastFailure.left()
            when (val result = attempt(run, runner)) {
                is AttemptResult.Complete -> return bill(run, result).right()

                is AttemptResult.Failed -> {
                    lastFailure = lastFailure.orIfNotRun(result.failure)
                    if (result.isLeaving) fleet.markLeaving(InstanceId(runner.id.value))
                    if (run.tokensSent > 0) return lastFailure.left()
                    noteRetry(run, retryReason(result.failure))
                }
            }
        }
        return lastFailure.left()
    }

    /** Why no attempt may be sent now. */
    private fun obstacle(run: Run): NotRun? =
        if (run.timeLeft <= Duration.ZERO) run.deadlineMissed() else checkPermission(run)

    /**
     * Checks the version against the snapshot of the decision and against the newest one, which may have withdrawn the
     * version since.
     */
    private fun checkPermission(run: Run): NotRun? = listOf(run.call.snapshot, currentLists()).firstNotNullOfOrNull {
        checkPermission(it, run.call.plan.id, run.version, isOnVersion = run.call.pin != null)
    }

    private fun noteRetry(run: Run, reason: RetryReason) {
        metrics.countRetry(reason)
        journal.record(run.call.id, RequestEvent.Retried(reason))
    }

    private fun chooseRunner(run: Run): RunnerView? =
        runnerChooser.choose(RunnerRequest(run.version, ownFailureDomain, excluded = run.tried), loads.views())

    private fun attempt(run: Run, runner: RunnerView): AttemptResult {
        run.tried += runner.id
        val request = run.call.body.copy(
            model = run.version.toString(),
            stream = true,
            streamOptions = StreamOptions(includeUsage = true),
        )
        val attempt = AttemptId(UUID.randomUUID().toString())
        journal.record(run.call.id, RequestEvent.AttemptSent(attempt, runner.id, run.version))
        val result = loads.track(runner.id) { runners.stream(runner, attempt, request, run.timeLeft, run::onToken) }
        if (result is AttemptResult.Failed) {
            journal.record(run.call.id, RequestEvent.AttemptFailed(attempt, result.failure))
        }
        return result
    }

    private fun bill(run: Run, result: AttemptResult.Complete): CompletionReport {
        val costPerThousandTokens = run.call.snapshot.version(run.version)?.costPerThousandTokens ?: 0.0
        val tokens = result.usage.completionTokens.toLong()
        val priceMicros = Math.round(tokens * costPerThousandTokens * MICROS_PER_UNIT / TOKENS_PER_PRICE)
        val isBilled = ledger.record(Bill(run.call.account.id, run.call.key, tokens, priceMicros, run.call.homeScope))
        journal.record(run.call.id, RequestEvent.Answered(run.version, result.usage.completionTokens))
        journal.record(run.call.id, RequestEvent.Billed(priceMicros, isBilled))
        val elapsed = run.started.elapsedNow()
        metrics.countAnswer(run.version.toString(), run.untilFirstToken ?: elapsed, elapsed)
        return CompletionReport(run.version, result.usage, result.finishReason, priceMicros, isBilled)
    }

    private fun retryReason(failure: RequestFailure): RetryReason = when (failure.reason) {
        RefusalReason.RUNNER_REFUSED.code -> RetryReason.RUNNER_REFUSED
        RefusalReason.NO_RUNNER.code -> RetryReason.RUNNER_UNREACHABLE
        else -> if (failure is NotRun) RetryReason.RUNNER_REFUSED else RetryReason.ANSWER_INCOMPLETE
    }

    private companion object {
        const val MAXIMUM_ATTEMPTS = 3
        const val MICROS_PER_UNIT = 1_000_000
        const val TOKENS_PER_PRICE = 1_000
    }
}

/** [next], unless the request may have run already: a later refusal does not take that back. */
private fun RequestFailure.orIfNotRun(next: RequestFailure): RequestFailure = if (this is MayHaveRun) this else next
