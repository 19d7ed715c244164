package io.quetzalfield.entry

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.quetzalfield.decision.Admitted
import io.quetzalfield.decision.HomeScope
import io.quetzalfield.decision.Route
import io.quetzalfield.decision.RouteChooser
import io.quetzalfield.decision.RouteRequest
import io.quetzalfield.model.ClientAccount
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.Plan
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.model.RequestFailure
import io.quetzalfield.model.RequestId
import io.quetzalfield.model.RequestKey
import io.quetzalfield.store.engine.ChatCompletionRequest
import io.quetzalfield.store.engine.TokenUsage
import kotlin.time.TimeSource

/**
 * A completion request of a caller; all decisions on it use one [snapshot] of the lists.
 *
 * @property pin the model version of the request's session; `null` without a session.
 * @property isKeyedByCaller whether the caller chose [key] and so may repeat the request with the same key.
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
    /** The scope that determines the home of the request. */
    val homeScope: HomeScope get() = HomeScope.of(key, pin?.session)
}

/** Receives the answer of a completion while it is generated. */
public interface CompletionSink {
    /** Reports that [version] gives the answer; called at most once, before the first token. */
    public fun onStart(version: ModelVersionReference)

    /** Receives the next token of the answer. */
    public fun onToken(text: String)
}

/** The usage, finish reason and price of a whole answer. */
public data class CompletionReport(
    val version: ModelVersionReference,
    val usage: TokenUsage,
    val finishReason: String,
    val priceMicros: Long,
    val isBilled: Boolean,
)

/** Routes completions, runs and retries them, checks the answers and bills them. */
public class CompletionService internal constructor(
    private val routeChooser: RouteChooser,
    private val admission: RequestAdmission,
    private val stages: CompletionStages,
    private val rollouts: RolloutMonitor,
    private val answers: AnswerObserver,
    private val ledger: BillLedger,
    private val metrics: EntryMetrics,
    private val journal: RequestJournal = RequestJournal.None,
    private val timeSource: TimeSource = TimeSource.Monotonic,
) {
    /** Chooses the route of a new session, whose version the session keeps. */
    public fun chooseRoute(request: RouteRequest, snapshot: ListsSnapshot): Either<NotRun, Route> =
        routeChooser.choose(request, snapshot, rollouts.stoppedVersions(snapshot))

    /** Runs [call] and passes each token of the answer to [sink] as it arrives. */
    public fun complete(call: CompletionCall, sink: CompletionSink): Either<RequestFailure, CompletionReport> =
        recordReceived(call)
            .flatMap(admission::admit)
            .flatMap { admitted -> runAdmitted(call, admitted, sink) }
            .onLeft { failure -> noteFailure(call, failure) }

    private fun recordReceived(call: CompletionCall): Either<RequestFailure, CompletionCall> {
        journal.record(call.id, call.toReceivedEvent())
        return call.right()
    }

    private fun noteFailure(call: CompletionCall, failure: RequestFailure) {
        metrics.countFailure(failure)
        journal.record(call.id, RequestEvent.Failed(failure))
    }

    private fun runAdmitted(
        call: CompletionCall,
        admitted: Admitted,
        sink: CompletionSink,
    ): Either<RequestFailure, CompletionReport> {
        val counted = CountingSink(sink)
        try {
            return chooseStages(call)
                .flatMap { route -> stages.run(call, route, counted, timeSource.markNow()) }
                .map(::bill)
        } catch (error: CallerDisconnectedException) {
            metrics.countCallerDisconnected()
            throw error
        } finally {
            admitted.finish(counted.tokens)
        }
    }

    private fun chooseStages(call: CompletionCall): Either<RequestFailure, Route> {
        val pin = call.pin
        val route = if (pin == null) chooseRoute(call.route, call.snapshot) else pinnedRoute(pin, call.snapshot)
        return route.onRight {
            journal.record(call.id, RequestEvent.Decided(it.stages, it.considered, isPinned = pin != null))
        }
    }

    private fun pinnedRoute(pin: SessionPin, snapshot: ListsSnapshot): Either<NotRun, Route> {
        if (pin.version !in rollouts.stoppedVersions(snapshot)) return Route(listOf(pin.version), emptyList()).right()
        val message = "${pin.version} was stopped, as it is worse than the version before; open a new session"
        return NotRun(RefusalReason.VERSION_WITHDRAWN, message).left()
    }

    private fun bill(stage: AnsweredStage): CompletionReport {
        val run = stage.run
        val result = stage.result
        val costPerThousandTokens = run.call.snapshot.version(run.version)?.costPerThousandTokens ?: 0.0
        val tokens = result.usage.completionTokens.toLong()
        val priceMicros = Math.round(tokens * costPerThousandTokens * MICROS_PER_UNIT / TOKENS_PER_PRICE)
        val isBilled = ledger.record(Bill(run.call.account.id, run.call.key, tokens, priceMicros, run.call.homeScope))
        journal.record(run.call.id, RequestEvent.Answered(run.version, result.usage.completionTokens))
        journal.record(run.call.id, RequestEvent.Billed(priceMicros, isBilled))
        val elapsed = run.started.elapsedNow()
        metrics.countAnswer(run.version.toString(), run.untilFirstToken ?: elapsed, elapsed)
        answers.onAnswer(run, result.usage.completionTokens, elapsed)
        return CompletionReport(run.version, result.usage, result.finishReason, priceMicros, isBilled)
    }

    private companion object {
        const val MICROS_PER_UNIT = 1_000_000
        const val TOKENS_PER_PRICE = 1_000
    }
}

/** Counts the tokens passed to [sink]. */
private class CountingSink(private val sink: CompletionSink) : CompletionSink by sink {
    var tokens = 0
        private set

    override fun onToken(text: String) {
        tokens++
        sink.onToken(text)
    }
}
