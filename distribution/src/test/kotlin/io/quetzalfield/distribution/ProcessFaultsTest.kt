package io.quetzalfield.distribution

import arrow.core.getOrElse
import io.quetzalfield.history.CallerOutcome
import io.quetzalfield.history.HistoryEvent
import io.quetzalfield.history.HistoryRecorder
import io.quetzalfield.history.HistoryTime
import io.quetzalfield.history.Promise
import io.quetzalfield.history.Verdict
import io.quetzalfield.history.checkAll
import io.quetzalfield.history.encodeHistory
import io.quetzalfield.model.AttemptId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.RequestKey
import io.quetzalfield.operator.ListsStore
import io.quetzalfield.standins.CallerClient
import io.quetzalfield.standins.ReceivedRequest
import io.quetzalfield.store.DUTY_PREFIX
import io.quetzalfield.store.DutyRecord
import io.quetzalfield.store.HttpInstanceDirectory
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.bills.BILL_CELL_PREFIX
import io.quetzalfield.store.bills.BillCell
import io.quetzalfield.store.bills.CellState
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.TestInstance
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlin.time.measureTime

/** Kills and freezes separate processes and interrupts the platform under load; checks the whole history at the end. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ProcessFaultsTest {
    private lateinit var fleet: SmallFleet
    private val recorder = HistoryRecorder()
    private val caller = RecordingCaller(recorder)
    private val entries = ConcurrentHashMap<String, TargetEntry>()
    private val starts = mutableMapOf<String, Int>()
    private val reportLines =
        mutableListOf(
            "| fault | next answer | longest wait | broken sends | keys without answer |",
            "|---|---|---|---|---|",
        )

    @BeforeAll
    fun startFleet() {
        fleet = SmallFleet()
        fleet.startSteward("steward-2")
        val stored = awaitRead("the stored lists") { ListsStore(fleet.store).read().getOrNull() }
        recorder.record { HistoryEvent.ListsAccepted(it, checkNotNull(stored.lists)) }
        listOf("entry-1", "entry-2").forEach(::registerEntry)
    }

    @AfterAll
    fun stopFleet() {
        fleet.processes.directory.toFile().copyRecursively(Path.of("target", "process-logs").toFile(), overwrite = true)
        fleet.close()
        Files.writeString(Path.of("target", "recovery.md"), reportLines.joinToString("\n", postfix = "\n"))
    }

    private fun registerEntry(name: String) {
        val start = starts.merge(name, 1, Int::plus)
        entries[name] = TargetEntry(Incarnation(InstanceId(name), "$start"), checkNotNull(fleet.addressOf(name)))
    }

    /** Removes [name] from the platform's list, as the platform does some time after an instance has ended. */
    private fun removeFromPlatform(name: String) {
        HttpInstanceDirectory(fleet.platform).remove(InstanceId(name))
    }

    private fun restartEntry(name: String) {
        removeFromPlatform(name)
        fleet.startEntry(name, if (name == "entry-1") "domain-1" else "domain-2")
        await("$name is back") { fleet.addressOf(name)?.let { CallerClient(it).isReady() } ?: false }
        registerEntry(name)
    }

    private fun setPlatformFaults(json: String) {
        CallerClient(fleet.platform).post("/faults", null, json)
    }

    /** Returns the steward that holds the first duty, and a number that increases with each holder. */
    private fun dutyHolder(): Pair<String, Long>? = fleet.store.list(DUTY_PREFIX).getOrNull()?.firstOrNull()
        ?.let { DutyRecord.fromJson(it.value).holder.instance.value to it.created.value }

    private fun awaitDutyHolder(): Pair<String, Long> = awaitRead("a holder of the duty", ::dutyHolder)

    /** Repeats [read] until it returns a value; a single read can fail on a busy machine. */
    private fun <T : Any> awaitRead(what: String, read: () -> T?): T {
        var value: T? = null
        await(what) { read().also { value = it } != null }
        return checkNotNull(value)
    }

    private fun awaitNewDutyHolder(former: Long) {
        await("another holder of the duty") { (dutyHolder()?.second ?: 0) > former }
    }

    /** Runs [fault] under load, waits for answers, and reports how long callers waited and which keys got no answer. */
    private fun underLoad(name: String, fault: () -> Unit) {
        val load = SteadyLoad(caller) { entries.values.sortedBy { it.incarnation.instance.value } }
        load.use {
            load.awaitAnswers(ANSWERS_BEFORE)
            val started = TimeSource.Monotonic.markNow()
            fault()
            await("an answer to a request sent after $name") {
                load.keys.any { it.answeredAfter != null && it.firstSentAt > started }
            }
            load.awaitAnswers(ANSWERS_AFTER)
            val next = load.keys.filter { it.answeredAfter != null && it.firstSentAt > started }
                .minOf { it.firstSentAt + checkNotNull(it.answeredAfter) - started }
            reportLoad(name, next, load.keys)
        }
        val unanswered = load.keys.filter { it.answeredAfter == null }
        assertEquals(emptyList(), unanswered.map { it.key to it.failures.last() }, name)
    }

    private fun reportLoad(name: String, next: Duration, keys: List<KeyResult>) {
        val broken = keys.flatMap { it.failures }.count { it is CallerOutcome.Cut || it is CallerOutcome.MayHaveRun }
        val longest = keys.mapNotNull { it.answeredAfter }.max().inWholeMilliseconds
        val unanswered = keys.count { it.answeredAfter == null }
        reportLines += "| $name | ${next.inWholeMilliseconds} ms | $longest ms | $broken | $unanswered |"
    }

    private fun reportTime(what: String, action: () -> Unit) {
        val duration = measureTime(action)
        reportLines += "| $what | ${duration.inWholeMilliseconds} ms | | | |"
    }

    private fun killEntry() {
        underLoad("kill -9 of an entry") { fleet.processes.kill("entry-1") }
        restartEntry("entry-1")
    }

    private fun killRunner() {
        underLoad("kill -9 of a runner") { fleet.processes.kill("runner-2") }
        removeFromPlatform("runner-2")
        fleet.startRunner("runner-2", "domain-2", "advisor-small@2", "advisor-large@1")
    }

    private fun killSteward() {
        val (holder, number) = awaitDutyHolder()
        underLoad("kill -9 of the steward that holds the duty") { fleet.processes.kill(holder) }
        reportTime("until another steward holds the duty") { awaitNewDutyHolder(number) }
        removeFromPlatform(holder)
        fleet.startSteward(holder)
    }

    private fun freezeSteward() {
        val (holder, number) = awaitDutyHolder()
        underLoad("freeze of the steward that holds the duty, past its lease") {
            fleet.processes.signal(holder, "STOP")
            awaitNewDutyHolder(number)
        }
        fleet.processes.signal(holder, "CONT")
    }

    /** Freezes an entry until the platform has removed it and a steward has sealed its bills. */
    private fun freezeEntry() {
        val frozen = entries.getValue("entry-2")
        entries.remove("entry-2")
        underLoad("freeze of an entry until its bills are sealed") {
            fleet.processes.signal("entry-2", "STOP")
            removeFromPlatform("entry-2")
            await("the bills of entry-2 are sealed") { sealedEntries().any { it.instance.value == "entry-2" } }
        }
        fleet.processes.signal("entry-2", "CONT")
        entries["entry-2"] = frozen
        underLoad("an entry that wakes after its bills were sealed") { }
    }

    private fun sealedEntries(): List<Incarnation> = fleet.store.list(BILL_CELL_PREFIX).getOrNull().orEmpty()
        .filter { BillCell.fromJson(it.value).state != CellState.OPEN }
        .mapNotNull { Incarnation.parse(it.key.removePrefix(BILL_CELL_PREFIX)) }

    private fun platformOutage() {
        underLoad("outage of the key-value service") { setPlatformFaults("""{"isDown":true}""") }
        underLoad("end of the outage") { setPlatformFaults("{}") }
    }

    private fun applyLists(faults: String) {
        setPlatformFaults(faults)
        val store = ListsStore(fleet.store)
        reportTime("lists in force at all entries, platform with $faults") {
            val base = store.read().getOrElse { error("$it") }
            val next = checkNotNull(base.lists).copy(revision = base.nextRevision)
            recorder.record { HistoryEvent.ListsAccepted(it, next) }
            store.replace(base, next).getOrElse { error("$it") }
            await("the lists are in force") {
                entries.values.all { caller.observeRevision(it) == next.revision.value }
            }
        }
        setPlatformFaults("{}")
    }

    private fun shutDownEntry() {
        val entry = entries.getValue("entry-2").incarnation
        underLoad("graceful shutdown of an entry") {
            recorder.record { HistoryEvent.ShutdownStarted(it, entry) }
            fleet.processes.signal("entry-2", "TERM")
            removeAfterAddressesExpire("entry-2")
            fleet.processes.process("entry-2").waitFor()
            recorder.record { HistoryEvent.ShutdownEnded(it, entry) }
        }
        restartEntry("entry-2")
    }

    /**
     * Removes entry [name] once callers no longer use it: another entry has stopped returning its address, and the
     * validity of the last address answer has expired.
     */
    private fun removeAfterAddressesExpire(name: String) {
        val address = entries.getValue(name).address
        val other = CallerClient(entries.values.first { it.address != address }.address)
        await("the address of $name is no longer returned to callers") { address !in other.addresses() }
        val lastAnswer = TimeSource.Monotonic.markNow()
        await("the last address answer has expired") { lastAnswer.elapsedNow() > ADDRESS_VALIDITY }
        entries.remove(name)
    }

    private fun checkHistory() {
        recordRuns()
        val expected = recorder.history().events.filterIsInstance<HistoryEvent.RequestEnded>()
            .count { (it.outcome as? CallerOutcome.Answered)?.isBilled == true }.toLong()
        runCatching { await("all bills are stored") { StoredBills.read(fleet.store).answers >= expected } }
        StoredBills.read(fleet.store).recordTo(recorder)
        entries.values.forEach { caller.observeRevision(it) }
        val history = recorder.history()
        Files.writeString(Path.of("target", "processes.jsonl"), encodeHistory(history))
        val verdicts = checkAll(history)
        assertEquals(emptyList(), verdicts.filterIsInstance<Verdict.Broken>().flatMap { it.violations })
        val checked = verdicts.filterIsInstance<Verdict.Holds>().map { it.promise }
        assertTrue(checked.containsAll(REQUIRED_PROMISES), "promises with cases: only $checked")
    }

    private fun recordRuns() {
        for (runner in listOf("runner-1", "runner-2", "runner-3")) {
            for (line in Files.readAllLines(fleet.runLog(runner))) {
                val run = PlatformJson.decodeFromString(ReceivedRequest.serializer(), line)
                recorder.record {
                    HistoryEvent.RunStarted(
                        at = HistoryTime(run.startedAtEpochMilliseconds),
                        endpoint = InstanceId(runner),
                        attempt = AttemptId(run.attempt),
                        key = RequestKey(run.prompt.substringBefore(' ')),
                        version = ModelVersionReference.parse(run.model),
                    )
                }
            }
        }
    }

    /** The steps run in this order on the same fleet. */
    @TestFactory
    fun `faults of separate processes`(): List<DynamicTest> = listOf(
        "lists reach all entries" to { applyLists("{}") },
        "a killed entry" to ::killEntry,
        "a killed runner" to ::killRunner,
        "a killed steward" to ::killSteward,
        "a frozen steward" to ::freezeSteward,
        "a frozen entry" to ::freezeEntry,
        "a platform that is down and comes back" to ::platformOutage,
        "lists reach all entries from a slow platform" to { applyLists("""{"delayMilliseconds":300}""") },
        "a graceful shutdown" to ::shutDownEntry,
        "the history of all of them" to ::checkHistory,
    ).map { (name, step) -> DynamicTest.dynamicTest(name, step) }

    private companion object {
        val ADDRESS_VALIDITY = 1.seconds
        const val ANSWERS_BEFORE = 20
        const val ANSWERS_AFTER = 40
        val REQUIRED_PROMISES = setOf(
            Promise.PLAN_ALLOWS_VERSION,
            Promise.BILLED_ONCE,
            Promise.WHOLE_OWN_ANSWER,
            Promise.SHUTDOWN_CUTS_NOTHING,
            Promise.LISTS_IN_FORCE,
        )
    }
}
