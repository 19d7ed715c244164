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

/** The clock of the machine, which tests advance so that a bound is over at once. */
internal class AdvancedClock : Clock {
    private val offsetMilliseconds = AtomicLong()

    override fun now(): Instant = Clock.System.now() + offsetMilliseconds.get().milliseconds

    fun advance(duration: Duration) {
        offsetMilliseconds.addAndGet(duration.inWholeMilliseconds)
    }
}

/** An entry in this process with its own way to the platform. */
internal class FleetEntry(val program: EntryProgram, val link: PlatformLink, val known: KnownEntry) {
    @Volatile
    var isLeaving: Boolean = false
    var isClosed: Boolean = false
}

/** Real entries over fakes of the platform, with stand-ins for runners and a service, all in this process. */
internal class FaultFleet : AutoCloseable {
    val clock = AdvancedClock()
    val recorder = HistoryRecorder(now = { clock.now().toEpochMilliseconds() })
    val caller = RecordedCaller(recorder)
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
        awaitAgreement()
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

    /** Entry [number], or the other one once callers that ask for addresses are not sent there any more. */
    fun entry(number: Int): KnownEntry {
        val wanted = entries[number - 1]
        return if (wanted.isLeaving) entries.first { it !== wanted }.known else wanted.known
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
        return FleetEntry(program, link, KnownEntry(Incarnation(settings.instance, "1"), program.callerAddress))
    }

    /** Says in the platform's list, once it takes changes, that [runner] is leaving; the runner itself goes on. */
    fun listAsLeaving(runner: String) {
        val instance = listedRunners.getValue(runner)
        if (instance.isLeaving) return
        directory.announce(instance.copy(isLeaving = true)).onRight {
            listedRunners[runner] = instance.copy(isLeaving = true)
            recorder.record { HistoryEvent.LeavingAnnounced(it, instance.id) }
        }
    }

    /** Reads the lists, edits and replaces them, as often as it takes; `false` when the store gives no answer. */
    fun editLists(edit: (OperatorLists) -> OperatorLists): Boolean {
        repeat(EDIT_ATTEMPTS) {
            val base = operator.read().getOrElse { return false }
            if (replace(base, edit(checkNotNull(base.lists)))) return true
        }
        return false
    }

    /** Replaces what was read as [base]; `false` when nothing was written. */
    fun replace(base: StoredLists, lists: OperatorLists): Boolean {
        val next = lists.copy(revision = base.nextRevision)
        val startedAt = clock.now().toEpochMilliseconds()
        if (operator.replace(base, next).isLeft()) return false
        recorder.record { HistoryEvent.ListsAccepted(HistoryTime(startedAt), next) }
        return true
    }

    private fun replaceLists(lists: OperatorLists) {
        check(replace(operator.read().getOrElse { error("$it") }, lists)) { "the first lists were not written" }
    }

    /** Shuts down entry [number] while the answer to a request is on its way from it, so that there is one to cut. */
    fun shutDownWithOpenRequest(number: Int) {
        val isOpen = CountDownLatch(1)
        val isShuttingDown = CountDownLatch(1)
        val request = thread {
            caller.ask(entry(number), "open") {
                isOpen.countDown()
                isShuttingDown.await()
            }
            isOpen.countDown()
        }
        isOpen.await()
        shutDown(number, onStarted = isShuttingDown::countDown)
        isShuttingDown.countDown()
        request.join()
    }

    /** Shuts down entry [number] gracefully; returns when it has stopped. */
    fun shutDown(number: Int, onStarted: () -> Unit = {}) {
        val entry = entries[number - 1]
        synchronized(entry) {
            if (entry.isClosed) return
            recorder.record { HistoryEvent.ShutdownStarted(it, entry.known.incarnation) }
            onStarted()
            entry.isLeaving = true
            entry.program.close()
            recorder.record { HistoryEvent.ShutdownEnded(it, entry.known.incarnation) }
            entry.isClosed = true
        }
    }

    /** Waits until every live entry has the newest lists and has read the list of instances twice. */
    fun awaitAgreement() {
        val live = entries.filterNot(FleetEntry::isClosed)
        val revision = operator.read().getOrElse { error("$it") }.lists?.revision?.value
        val reads = live.associateWith { it.link.listReads }
        await("revision $revision at all entries", IN_FORCE_WITHIN) {
            live.all { caller.seeRevision(it.known) == revision && it.link.listReads >= reads.getValue(it) + 2 }
        }
    }

    /** Ends all entries gracefully and returns what was seen, with the sums that were stored in the end. */
    fun finish(): History {
        awaitFolding()
        val shutdowns = entries.indices.map { thread { shutDown(it + 1) } }
        shutdowns.forEach(Thread::join)
        recordRuns()
        StoredBills.read(store).recordTo(recorder)
        return recorder.history()
    }

    /** Waits until the bills of entries that have ended are in the accounts; what stays out is left to the checkers. */
    private fun awaitFolding() {
        val due = recorder.history().events.filterIsInstance<HistoryEvent.RequestEnded>()
            .count { (it.outcome as? CallerOutcome.Answered)?.isBilled == true }
        val isFolded = { StoredBills.read(store).answers >= due }
        if (entries.any(FleetEntry::isClosed)) runCatching { await("folded bills", FOLDED_WITHIN, isFolded) }
    }

    private fun recordRuns() {
        for ((name, runner) in runners) {
            for (run in runner.seenRequests()) {
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
        const val EDIT_ATTEMPTS = 5
        val GONE_AFTER = 200.milliseconds
        val REFRESH = 20.milliseconds
        val IN_FORCE_WITHIN = 5.seconds
        val FOLDED_WITHIN = 5.seconds
        val RUNNER_VERSIONS = mapOf(
            "runner-1" to versions("advisor-small@1", "advisor-small@2", "advisor-large@2"),
            "runner-2" to versions("advisor-small@1", "advisor-small@2", "advisor-large@1"),
            "runner-3" to versions("advisor-large@1", "advisor-large@2", "advisor-small@1"),
        )

        fun versions(vararg names: String) = names.map { checkNotNull(ModelVersionReference.parse(it)) }
    }
}

/** The example lists, changed so that each plan still has a version when `advisor-small@2` is withdrawn. */
internal fun operatorLists(): OperatorLists {
    val examples = Path.of("..", "examples", "lists")
    val lists = ListsFiles(examples.resolve("plans.yaml"), examples.resolve("models.yaml")).load(ListsRevision(1))
        .getOrElse { error("$it") }
    return lists.withVersion("advisor-small@1") {
        it.copy(state = VersionState.SERVING, priorQuality = 0.77, costPerThousandTokens = 0.3)
    }
}
