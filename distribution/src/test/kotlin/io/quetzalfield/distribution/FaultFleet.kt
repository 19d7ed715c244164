package io.quetzalfield.distribution

import arrow.core.getOrElse
import io.quetzalfield.entry.EntryProgram
import io.quetzalfield.entry.EntrySettings
import io.quetzalfield.history.CallerOutcome
import io.quetzalfield.history.History
import io.quetzalfield.history.HistoryEvent
import io.quetzalfield.history.HistoryRecorder
import io.quetzalfield.history.HistoryTime
import io.quetzalfield.model.AttemptId
import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.InstanceKind
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.OperatorLists
import io.quetzalfield.model.RequestKey
import io.quetzalfield.model.ServiceId
import io.quetzalfield.model.VersionState
import io.quetzalfield.operator.ListsFiles
import io.quetzalfield.operator.ListsStore
import io.quetzalfield.operator.StoredLists
import io.quetzalfield.operator.load
import io.quetzalfield.standins.CallerClient
import io.quetzalfield.standins.RunnerStandIn
import io.quetzalfield.standins.ServiceStandIn
import io.quetzalfield.steward.StewardProgram
import io.quetzalfield.steward.StewardSettings
import io.quetzalfield.store.fakes.InMemoryInstanceDirectory
import io.quetzalfield.store.fakes.InMemoryKeyValueStore
import io.quetzalfield.store.fakes.PlatformLink
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** The system clock plus an offset, which tests increase so that time bounds expire without waiting. */
internal class AdvanceableClock : Clock {
    private val offsetMilliseconds = AtomicLong()

    override fun now(): Instant = Clock.System.now() + offsetMilliseconds.get().milliseconds

    fun advance(duration: Duration) {
        offsetMilliseconds.addAndGet(duration.inWholeMilliseconds)
    }
}

/** An entry in this process with its own connection to the platform. */
internal class FleetEntry(val program: EntryProgram, val link: PlatformLink, val target: TargetEntry) {
    @Volatile
    var isLeaving: Boolean = false
    var isClosed: Boolean = false
}

/** In-process fleet of real entries and a steward with a fake platform and stand-ins for runners and a service. */
internal class FaultFleet : AutoCloseable {
    val clock = AdvanceableClock()
    val recorder = HistoryRecorder(now = { clock.now().toEpochMilliseconds() })
    val caller = RecordingCaller(recorder)
    val store = InMemoryKeyValueStore()
    val directory = InMemoryInstanceDirectory()
    val operator = ListsStore(store)
    private val listedRunners = mutableMapOf<String, ListedInstance>()
    val runners: Map<String, RunnerStandIn> = RUNNER_VERSIONS.mapValues { (name, versions) ->
        startRunner(name, versions)
    }
    val service = ServiceStandIn(LOOPBACK, 0, clock).also { announceService(it) }
    val entries: List<FleetEntry>
    private val steward: StewardProgram

    init {
        replaceLists(operatorLists())
        entries = listOf("entry-1" to "domain-1", "entry-2" to "domain-2").map { startEntry(it.first, it.second) }
        steward = startSteward()
        awaitLatestLists()
    }

    private fun startSteward(): StewardProgram {
        val settings = StewardSettings(
            instance = InstanceId("steward-1"),
            failureDomain = FailureDomainId("domain-1"),
            peerAddress = "$LOOPBACK:0",
            operatorAddress = "$LOOPBACK:0",
            platformAddress = "http://$LOOPBACK:1",
            leaseTimeToLive = 1.seconds,
            leaseMargin = 200.milliseconds,
            dutyPeriod = REFRESH,
            billPeriod = REFRESH,
            goneAfter = GONE_AFTER,
        )
        return StewardProgram(settings, store, directory)
    }

    /** Returns entry [number], or the other entry once callers are no longer given the address of [number]. */
    fun entry(number: Int): TargetEntry {
        val preferred = entries[number - 1]
        return if (preferred.isLeaving) entries.first { it !== preferred }.target else preferred.target
    }

    private fun startRunner(name: String, versions: List<ModelVersionReference>): RunnerStandIn {
        val runner = RunnerStandIn(LOOPBACK, 0, versions, tokenDelayMilliseconds = 1, clock = clock)
        val instance = listed(name, runner.port, InstanceKind.RUNNER).copy(versions = versions)
        listedRunners[name] = instance
        directory.announce(instance)
        return runner
    }

    private fun announceService(standIn: ServiceStandIn) {
        val instance = listed("service-1", standIn.port, InstanceKind.SERVICE)
        directory.announce(instance.copy(service = ServiceId("bookings")))
    }

    private fun listed(name: String, port: Int, kind: InstanceKind) = ListedInstance(
        id = InstanceId(name),
        kind = kind,
        address = "http://$LOOPBACK:$port",
        failureDomain = FailureDomainId("domain-1"),
    )

    private fun startEntry(name: String, failureDomain: String): FleetEntry {
        val link = PlatformLink(store, directory)
        val settings = EntrySettings(
            instance = InstanceId(name),
            failureDomain = FailureDomainId(failureDomain),
            callerAddress = "$LOOPBACK:0",
            peerAddress = "$LOOPBACK:0",
            platformAddress = "http://$LOOPBACK:1",
            addressValidity = REFRESH,
            listRefresh = REFRESH,
            loadRefresh = REFRESH,
            billFlush = REFRESH,
        )
        val program = EntryProgram(settings, link.store, link.directory)
        return FleetEntry(program, link, TargetEntry(Incarnation(settings.instance, "1"), program.callerAddress))
    }

    /**
     * Marks [runner] as leaving in the platform's list while the runner itself keeps serving. Does nothing when the
     * platform does not accept the change, so that a later call can repeat it.
     */
    fun listAsLeaving(runner: String) {
        val instance = listedRunners.getValue(runner)
        if (instance.isLeaving) return
        directory.announce(instance.copy(isLeaving = true)).onRight {
            listedRunners[runner] = instance.copy(isLeaving = true)
            recorder.record { HistoryEvent.LeavingAnnounced(it, instance.id) }
        }
    }

    /**
     * Reads, edits and replaces the lists, at most [MAX_EDIT_ATTEMPTS] times; `false` when the store does not answer
     * the read or no replacement succeeds.
     */
    fun editLists(edit: (OperatorLists) -> OperatorLists): Boolean {
        repeat(MAX_EDIT_ATTEMPTS) {
            val base = operator.read().getOrElse { return false }
            if (replace(base, edit(checkNotNull(base.lists)))) return true
        }
        return false
    }

    /** Replaces the lists that were read as [base]; `false` when the write failed or its outcome is unknown. */
    fun replace(base: StoredLists, lists: OperatorLists): Boolean {
        val next = lists.copy(revision = base.nextRevision)
        val startedAt = clock.now().toEpochMilliseconds()
        if (operator.replace(base, next).isLeft()) return false
        recorder.record { HistoryEvent.ListsAccepted(HistoryTime(startedAt), next) }
        return true
    }

    private fun replaceLists(lists: OperatorLists) {
        check(replace(operator.read().getOrElse { error("$it") }, lists)) { "initial lists were not written" }
    }

    /** Shuts down entry [number] while it streams an answer, so that the shutdown has an answer that it could cut. */
    fun shutDownWithOpenRequest(number: Int) {
        val requestOpen = CountDownLatch(1)
        val shutdownStarted = CountDownLatch(1)
        val request = thread {
            caller.complete(entry(number), "open") {
                requestOpen.countDown()
                shutdownStarted.await()
            }
            requestOpen.countDown()
        }
        requestOpen.await()
        shutDown(number, onStarted = shutdownStarted::countDown)
        shutdownStarted.countDown()
        request.join()
    }

    /** Shuts down entry [number] gracefully; returns when it has stopped. */
    fun shutDown(number: Int, onStarted: () -> Unit = {}) {
        val entry = entries[number - 1]
        synchronized(entry) {
            if (entry.isClosed) return
            recorder.record { HistoryEvent.ShutdownStarted(it, entry.target.incarnation) }
            onStarted()
            entry.isLeaving = true
            entry.program.close()
            recorder.record { HistoryEvent.ShutdownEnded(it, entry.target.incarnation) }
            entry.isClosed = true
        }
    }

    /** Waits until every running entry has the latest lists and has read the list of instances twice. */
    fun awaitLatestLists() {
        val running = entries.filterNot(FleetEntry::isClosed)
        val revision = operator.read().getOrElse { error("$it") }.lists?.revision?.value
        val reads = running.associateWith { it.link.listReads }
        await("revision $revision is in force at all entries", IN_FORCE_TIMEOUT) {
            running.all { caller.observeRevision(it.target) == revision && it.link.listReads >= reads.getValue(it) + 2 }
        }
    }

    /** Shuts down all entries gracefully and returns the recorded history, including the totals stored at the end. */
    fun finish(): History {
        awaitFolding()
        val shutdowns = entries.indices.map { thread { shutDown(it + 1) } }
        shutdowns.forEach(Thread::join)
        recordRuns()
        StoredBills.read(store).recordTo(recorder)
        return recorder.history()
    }

    /**
     * Waits until the bills of stopped entries are in the accounts. Bills that are still missing after
     * [FOLDING_TIMEOUT] are left for the checkers to report.
     */
    private fun awaitFolding() {
        val expected = recorder.history().events.filterIsInstance<HistoryEvent.RequestEnded>()
            .count { (it.outcome as? CallerOutcome.Answered)?.isBilled == true }
        val isFolded = { StoredBills.read(store).answers >= expected }
        if (entries.any(FleetEntry::isClosed)) runCatching { await("all bills are folded", FOLDING_TIMEOUT, isFolded) }
    }

    private fun recordRuns() {
        for ((name, runner) in runners) {
            for (run in runner.receivedRequests()) {
                val version = ModelVersionReference.parse(run.model)
                recordRun(name, run.startedAtEpochMilliseconds, run.attempt, run.prompt.substringBefore(' '), version)
            }
        }
        for (run in service.allRuns()) {
            recordRun("service-1", run.startedAtEpochMilliseconds, run.attempt, run.body, version = null)
        }
    }

    private fun recordRun(
        endpoint: String,
        startedAt: Long,
        attempt: String,
        key: String,
        version: ModelVersionReference?,
    ) = recorder.record {
        HistoryEvent.RunStarted(
            at = HistoryTime(startedAt),
            endpoint = InstanceId(endpoint),
            attempt = AttemptId(attempt),
            key = RequestKey(key),
            version = version,
        )
    }

    override fun close() {
        entries.filterNot(FleetEntry::isClosed).forEach { it.program.close() }
        steward.close()
        runners.values.forEach(RunnerStandIn::close)
        service.close()
    }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val MAX_EDIT_ATTEMPTS = 5
        val GONE_AFTER = 200.milliseconds
        val REFRESH = 20.milliseconds
        val IN_FORCE_TIMEOUT = 5.seconds
        val FOLDING_TIMEOUT = 5.seconds
        val RUNNER_VERSIONS = mapOf(
            "runner-1" to versions("advisor-small@1", "advisor-small@2", "advisor-large@2"),
            "runner-2" to versions("advisor-small@1", "advisor-small@2", "advisor-large@1"),
            "runner-3" to versions("advisor-large@1", "advisor-large@2", "advisor-small@1"),
        )

        fun versions(vararg names: String) = names.map { checkNotNull(ModelVersionReference.parse(it)) }
    }
}

/** Returns the example lists, changed so that each plan still has a version when `advisor-small@2` is withdrawn. */
internal fun operatorLists(): OperatorLists {
    val examples = Path.of("..", "examples", "lists")
    val lists = ListsFiles(examples.resolve("plans.yaml"), examples.resolve("models.yaml")).load(ListsRevision(1))
        .getOrElse { error("$it") }
    return lists.withVersion("advisor-small@1") {
        it.copy(state = VersionState.SERVING, priorQuality = 0.77, costPerThousandTokens = 0.3)
    }
}
