package io.quetzalfield.entry

import arrow.core.Either
import arrow.core.right
import io.prometheus.metrics.model.snapshots.CounterSnapshot
import io.quetzalfield.decision.RouteRequest
import io.quetzalfield.model.ClientAccount
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.ModelId
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.Plan
import io.quetzalfield.model.PlanId
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.model.RequestFailure
import io.quetzalfield.model.RequestId
import io.quetzalfield.model.RequestKey
import io.quetzalfield.model.VersionId
import io.quetzalfield.store.engine.ChatCompletionRequest
import io.quetzalfield.store.engine.TokenUsage
import kotlin.test.Test
import kotlin.test.assertEquals

class KeyedCompletionsTest {
    private val version = ModelVersionReference(ModelId("small"), VersionId("1"))
    private val plan = Plan(PlanId("bench"), qualityTarget = 0.5)
    private val journal = BoundedRequestJournal()
    private val metrics = EntryMetrics()
    private val completions = KeyedCompletions(::answer, metrics, journal)
    private var runs = 0

    private object Sink : CompletionSink {
        override fun onStart(version: ModelVersionReference) = Unit

        override fun onToken(text: String) = Unit
    }

    private fun answer(call: CompletionCall, sink: CompletionSink): Either<RequestFailure, CompletionReport> {
        runs++
        check(call.isKeyedByCaller)
        sink.onStart(version)
        return CompletionReport(version, TokenUsage(1, 0, 1), "stop", priceMicros = 4, isBilled = true).right()
    }

    private fun send(id: String, body: String): Either<RequestFailure, CompletionReport> {
        val call = CompletionCall(
            id = RequestId(id),
            snapshot = ListsSnapshot.Empty,
            account = ClientAccount(ClientAccountId("workshop"), plan.id, emptyList(), tokensPerMinute = 1),
            plan = plan,
            key = RequestKey("key"),
            route = RouteRequest(plan, "general"),
            pin = null,
            body = ChatCompletionRequest("auto", emptyList()),
            isKeyedByCaller = true,
        )
        return completions.complete(call, body, Sink)
    }

    private fun events(id: String) = journal.events(RequestId(id)).orEmpty().map { it.event }

    private fun countOf(reason: RefusalReason): Double = metrics.registry.scrape()
        .first { it.metadata.name == "quetzalfield_requests_failed" }
        .let { it as CounterSnapshot }
        .dataPoints
        .first { it.labels["reason"] == reason.code }
        .value

    @Test
    fun `a repetition gets the cached answer, and is explained`() {
        send("first", "a")
        val repeated = send("second", "a")
        assertEquals(1 to false, runs to repeated.getOrNull()?.isBilled)
        assertEquals(RequestEvent.Repeated(version), events("second").last())
    }

    @Test
    fun `a key that was used for another request is refused, counted and explained`() {
        send("first", "a")
        val failure = checkNotNull(send("second", "b").leftOrNull())
        assertEquals(RefusalReason.IDEMPOTENCY_KEY_REUSED.code, failure.reason)
        assertEquals(1.0, countOf(RefusalReason.IDEMPOTENCY_KEY_REUSED))
        assertEquals(RequestEvent.Failed(failure), events("second").last())
    }
}
