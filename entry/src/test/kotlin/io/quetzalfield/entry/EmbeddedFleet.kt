package io.quetzalfield.entry

import arrow.core.Either
import io.quetzalfield.decision.AllowanceShare
import io.quetzalfield.decision.CheapestSufficientRouteChooser
import io.quetzalfield.decision.RolloutRouteChooser
import io.quetzalfield.decision.RouteChooser
import io.quetzalfield.decision.RouteRequest
import io.quetzalfield.model.ClientAccount
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.ClientPlanList
import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.InstanceKind
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.Model
import io.quetzalfield.model.ModelId
import io.quetzalfield.model.ModelList
import io.quetzalfield.model.ModelVersion
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.OperatorLists
import io.quetzalfield.model.Plan
import io.quetzalfield.model.PlanId
import io.quetzalfield.model.PlanPermission
import io.quetzalfield.model.RequestFailure
import io.quetzalfield.model.RequestId
import io.quetzalfield.model.RequestKey
import io.quetzalfield.model.SessionId
import io.quetzalfield.model.VersionId
import io.quetzalfield.peer.PeerClients
import io.quetzalfield.standins.RunnerFaults
import io.quetzalfield.standins.RunnerStandIn
import io.quetzalfield.standins.answerWords
import io.quetzalfield.store.AnswerToRate
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.engine.ChatCompletionRequest
import io.quetzalfield.store.engine.ChatMessage
import io.quetzalfield.store.engine.EngineLoad
import io.quetzalfield.store.fakes.InMemoryInstanceDirectory
import io.quetzalfield.store.fakes.InMemoryKeyValueStore
import io.quetzalfield.store.fakes.InMemoryRatingService
import okhttp3.OkHttpClient
import okhttp3.Request
import java.io.IOException
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.test.assertFailsWith

internal val OLD: ModelVersionReference = ModelVersionReference(ModelId("advisor"), VersionId("1"))
internal val NEW: ModelVersionReference = ModelVersionReference(ModelId("advisor"), VersionId("2"))

/** Returns lists with one plan, one account and one model, whose second version is being rolled out. */
internal fun listsWith(revision: Long = 1, newShare: Double? = 0.0): OperatorLists = OperatorLists(
    revision = ListsRevision(revision),
    plans = ClientPlanList(
        plans = listOf(Plan(PlanId("plan"), qualityTarget = 0.5)),
        accounts = listOf(ClientAccount(ClientAccountId("account"), PlanId("plan"), emptyList(), 1_000_000)),
    ),
    models = ModelList(
        models = listOf(
            Model(
                id = ModelId("advisor"),
                versions = listOf(
                    ModelVersion(VersionId("1"), costPerThousandTokens = 1.0, priorQuality = 0.9),
                    ModelVersion(
                        id = VersionId("2"),
                        costPerThousandTokens = 1.0,
                        priorQuality = 0.9,
                        newSessionShare = newShare,
                    ),
                ),
            ),
        ),
        permissions = listOf(PlanPermission(PlanId("plan"), listOf(OLD, NEW))),
    ),
)

/** Returns the whole answer of a stand-in to [text]. */
internal fun wholeAnswer(text: String, tokens: Int = 20): String = answerWords(request(text, tokens)).joinToString("")

/** The part of an answer that a caller received, and the result of the completion. */
internal class SeenAnswer(val text: String, val result: Either<RequestFailure, CompletionReport>)

/** The completion service of one entry with stand-in runners, all in this process. */
internal class EmbeddedFleet(
    runnerCount: Int,
    allowance: AllowanceShare = AllowanceShare { 1_000_000.0 },
    routeChooser: RouteChooser = RolloutRouteChooser(CheapestSufficientRouteChooser()),
    newShare: Double = 0.0,
    hasPassed: (AnswerToRate) -> Boolean = { true },
) : AutoCloseable {
    private val directory = InMemoryInstanceDirectory()
    private val client = OkHttpClient()
    private val fleet = FleetView(directory)
    private val incarnation = Incarnation(InstanceId("entry-1"), "start")
    private val loads = RunnerLoadTracker(incarnation.instance, fleet, client)
    private val peers = PeerClients()
    private val lists = ListsHolder().apply { adopt(listsWith(newShare = newShare)) }
    val control = EntryControl(
        incarnation = incarnation,
        lists = lists,
        fleet = fleet,
        loads = loads,
        peers = peers,
        metrics = EntryMetrics(),
        ratingService = InMemoryRatingService(hasPassed),
        routing = learningRouting(),
        allowance = allowance,
    )
    private val ledger = BillLedger(incarnation, InMemoryKeyValueStore())
    private val service = CompletionService(
        routeChooser = routeChooser,
        admission = control.admission,
        stages = CompletionStages(
            attempts = control.attempts(FailureDomainId("domain-1"), RunnerClient(client)),
            answers = control.answers,
            metrics = EntryMetrics(),
            journal = RequestJournal.None,
        ),
        rollouts = control.rollouts,
        answers = control.answers,
        ledger = ledger,
        metrics = EntryMetrics(),
    )
    private val crashed = ConcurrentLinkedQueue<Int>()
    val runners: List<RunnerStandIn> = List(runnerCount, ::startRunner)

    /** The number of crashed runners. */
    val crashCount: Int get() = crashed.size

    init {
        runners.forEachIndexed(::list)
        fleet.refresh()
        awaitReports()
    }

    private fun startRunner(index: Int): RunnerStandIn = RunnerStandIn(
        host = "127.0.0.1",
        port = 0,
        versions = listOf(OLD, NEW),
        tokenDelayMilliseconds = 2,
        crash = { crash(index) },
    )

    private fun crash(index: Int) {
        crashed += index
        runners[index].close()
    }

    private fun list(index: Int, runner: RunnerStandIn) {
        directory.announce(
            ListedInstance(
                id = InstanceId("runner-$index"),
                kind = InstanceKind.RUNNER,
                address = "http://127.0.0.1:${runner.port}",
                failureDomain = FailureDomainId("domain-${index % 2}"),
                versions = listOf(OLD, NEW),
            ),
        )
    }

    private fun awaitReports() {
        val deadline = System.nanoTime() + REPORT_TIMEOUT_NANOSECONDS
        while (loads.views().count { loads.canResume(it.id) } < runners.size) {
            check(System.nanoTime() < deadline) { "some runners sent no load report in time" }
            loads.refresh()
            Thread.yield()
        }
    }

    /** Returns the number of requests that the runners have started, repetitions included. */
    fun seenCount(): Int = runners.sumOf { it.receivedRequests().size }

    fun setFaults(faults: RunnerFaults) {
        runners.forEach { it.setFaults(faults) }
    }

    /** The number of answers that were billed. */
    val billedAnswers: Long get() = ledger.totals(ClientAccountId("account")).answers

    /** Requests an answer for [sink]. */
    fun ask(sink: CompletionSink): Either<RequestFailure, CompletionReport> =
        service.complete(call(request("question"), null), sink)

    /** Requests a long answer and disconnects after [tokens] tokens. */
    fun askAndDisconnect(tokens: Int) {
        var received = 0
        val sink = object : CompletionSink {
            override fun onStart(version: ModelVersionReference) = Unit

            override fun onToken(text: String) {
                if (++received == tokens) throw CallerDisconnectedException(IOException("the caller disconnected"))
            }
        }
        assertFailsWith<CallerDisconnectedException> {
            service.complete(call(request("long", LONG_ANSWER), null), sink)
        }
    }

    /** Returns whether all runners report that no request is running. */
    fun isIdle(): Boolean = runners.all { runner ->
        val request = Request.Builder().url("http://127.0.0.1:${runner.port}/v1/load").build()
        client.newCall(request).execute().use { response ->
            PlatformJson.decodeFromString(EngineLoad.serializer(), response.body.string()).running == 0
        }
    }

    /** Returns a session with [version]. */
    fun pinTo(version: ModelVersionReference) =
        SessionPin(SessionId("session"), ClientAccountId("account"), version, ListsRevision(1), 0)

    fun ask(text: String, tokens: Int = 20, pin: SessionPin? = null): SeenAnswer {
        val received = StringBuilder()
        val sink = object : CompletionSink {
            override fun onStart(version: ModelVersionReference) = Unit

            override fun onToken(text: String) {
                received.append(text)
            }
        }
        val result = service.complete(call(request(text, tokens), pin), sink)
        return SeenAnswer(received.toString(), result)
    }

    private fun call(body: ChatCompletionRequest, pin: SessionPin?): CompletionCall {
        val snapshot = lists.snapshot
        val plan = checkNotNull(snapshot.plan(PlanId("plan")))
        return CompletionCall(
            id = RequestId("request"),
            snapshot = snapshot,
            account = checkNotNull(snapshot.account(ClientAccountId("account"))),
            plan = plan,
            key = RequestKey("key"),
            route = RouteRequest(plan, kind = "general", expectedTokens = body.maximumTokens ?: 1),
            pin = pin,
            body = body,
        )
    }

    override fun close() {
        runners.forEach(RunnerStandIn::close)
        control.close()
        peers.close()
    }

    private companion object {
        const val LONG_ANSWER = 10_000
        const val REPORT_TIMEOUT_NANOSECONDS = 10_000_000_000L
    }
}

internal fun request(text: String, tokens: Int = 20) =
    ChatCompletionRequest(model = "auto", messages = listOf(ChatMessage("user", text)), maximumTokens = tokens)
