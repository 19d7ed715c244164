package io.quetzalfield.distribution

import io.quetzalfield.history.CallerOutcome
import io.quetzalfield.history.History
import io.quetzalfield.history.HistoryEvent
import io.quetzalfield.history.Promise
import io.quetzalfield.history.Verdict
import io.quetzalfield.history.checkAll
import io.quetzalfield.history.encodeHistory
import io.quetzalfield.model.InstanceId
import io.quetzalfield.standins.RunnerFaults
import io.quetzalfield.standins.ServiceFaults
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.parallel.Execution
import org.junit.jupiter.api.parallel.ExecutionMode
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.Future
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A fault that is injected under load. The history must contain cases for all [requiredPromises]. Faults with the same
 * [exclusionGroup] overwrite each other and are not paired.
 */
private class Fault(
    val name: String,
    val requiredPromises: Set<Promise> = emptySet(),
    val end: FaultFleet.() -> Unit = {},
    val exclusionGroup: String? = null,
    val begin: FaultFleet.() -> Unit,
)

private fun runnerFault(name: String, faults: RunnerFaults) =
    Fault(name, exclusionGroup = "runner-1", end = { runners.getValue("runner-1").setFaults(RunnerFaults()) }) {
        runners.getValue("runner-1").setFaults(faults)
    }

private val faults: List<Fault> = listOf(
    Fault("lost answers of the store") { store.loseAnswers(4) },
    Fault("slow answers of the store", end = { setDelay(Duration.ZERO) }) { setDelay(30.milliseconds) },
    Fault("outage of the store and the list", end = { endOutage() }) { beginOutage() },
    Fault("cut between entry-1 and the platform", end = { entries[0].link.isCut = false }) {
        entries[0].link.isCut = true
    },
    Fault("frozen list", end = { directory.isFrozen = false }) { directory.isFrozen = true },
    Fault("two operators at once") { raceTwoOperators() },
    runnerFault("runner cut before the first token", RunnerFaults(cutAfterTokens = 0)),
    runnerFault("runner cut while it streams", RunnerFaults(cutAfterTokens = 7)),
    runnerFault("runner cut before the end marker", RunnerFaults(cutAfterTokens = 20)),
    runnerFault("crossed answers", RunnerFaults(crossedId = true)),
    runnerFault("a token left out", RunnerFaults(skippedToken = 5)),
    runnerFault("late answers", RunnerFaults(holdMilliseconds = 60)),
    Fault("runner that leaves and says so", setOf(Promise.LEAVING_ENDPOINT_IDLE), exclusionGroup = "runner-1") {
        recorder.record { HistoryEvent.LeavingAnnounced(it, InstanceId("runner-1")) }
        runners.getValue("runner-1").setFaults(RunnerFaults(isLeaving = true))
    },
    Fault(
        "runner that leaves by the list",
        setOf(Promise.LEAVING_ENDPOINT_IDLE),
        end = { listAsLeaving("runner-1") },
    ) { listAsLeaving("runner-1") },
    Fault("runner that is gone") { runners.getValue("runner-2").close() },
    Fault("graceful shutdown of entry-2", setOf(Promise.SHUTDOWN_CUTS_NOTHING)) { shutDownWithOpenRequest(2) },
    Fault(
        "withdrawn version",
        setOf(Promise.WITHDRAWN_VERSION_IDLE, Promise.LISTS_IN_FORCE),
        end = { editLists { it.withdrawing("advisor-small@2") } },
    ) { editLists { it.withdrawing("advisor-small@2") } },
    Fault("key rotation", setOf(Promise.SESSION_KEEPS_VERSION), end = { editLists { it.withNewSigningKey() } }) {},
    Fault("service that loses its answers", end = { service.setFaults(ServiceFaults()) }) {
        service.setFaults(ServiceFaults(loseAnswers = true))
    },
)

private fun FaultFleet.setDelay(delay: Duration) = entries.forEach { it.link.delay = delay }

private fun FaultFleet.beginOutage() {
    store.isDown = true
    directory.isDown = true
}

/** Ends the outage; the platform removes the entries that have stopped during it. */
private fun FaultFleet.endOutage() {
    store.isDown = false
    directory.isDown = false
    entries.filter(FleetEntry::isClosed).forEach { directory.remove(it.target.incarnation.instance) }
}

/** Two operators replace the same revision; the second one's write conflicts and is repeated on the new revision. */
private fun FaultFleet.raceTwoOperators() {
    val base = operator.read().getOrNull() ?: return
    val lists = checkNotNull(base.lists)
    replace(base, lists.withMoreAllowance())
    if (!replace(base, lists.withMoreWeight())) editLists { it.withMoreWeight() }
}

@Execution(ExecutionMode.CONCURRENT)
class FaultTableTest {
    /** Sends the same requests in every case and injects faults between them; [seed] selects entries and accounts. */
    private inner class Workload(private val fleet: FaultFleet, seed: Int) {
        private val random = Random(seed)
        private val threads = Executors.newFixedThreadPool(THREADS)
        private val sessions = Account.entries.associateWith { account ->
            checkNotNull(fleet.caller.openSession(fleet.entry(1), account))
        }
        private val ticket = checkNotNull(fleet.caller.mintTicket(fleet.entry(1)))
        private var nextKey = 0

        fun run(faults: List<Fault>): History {
            val beforeFaults = submit(REQUESTS_IN_PHASE)
            faults.forEach { it.begin(fleet) }
            val duringFaults = submit(REQUESTS_IN_PHASE) + submitBookings() + submitRepeated()
            (beforeFaults + duringFaults).forEach { it.get() }
            faults.forEach { it.end(fleet) }
            fleet.editLists { it.withMoreAllowance() }
            fleet.awaitLatestLists()
            fleet.clock.advance(PAST_ALL_BOUNDS)
            fleet.awaitLatestLists()
            submit(REQUESTS_IN_PHASE).forEach { it.get() }
            threads.shutdown()
            return fleet.finish()
        }

        private fun submit(count: Int): List<Future<*>> = List(count) { submitRequest() }

        private fun submitRequest(): Future<*> {
            val key = "key-${nextKey++}"
            val account = Account.entries.random(random)
            val session = sessions[account].takeIf { random.nextBoolean() }
            val entry = random.nextInt(fleet.entries.size) + 1
            return threads.submit(Callable { fleet.caller.complete(fleet.entry(entry), key, account, session) })
        }

        /** Sends one operation with a ticket and one with an idempotency key of the caller, three times each. */
        private fun submitBookings(): List<Future<*>> = listOf(1, 2, 1).flatMap { number ->
            listOf("booking" to ticket, "claimed" to null).map { (key, ticket) ->
                threads.submit(Callable { fleet.caller.book(fleet.entry(number), key, ticket) })
            }
        }

        /** Sends the same request three times with the same key, at both entries. */
        private fun submitRepeated(): List<Future<*>> = listOf(1, 2, 1).map { number ->
            threads.submit(Callable { fleet.caller.complete(fleet.entry(number), "repeated") })
        }
    }

    private fun case(name: String, faults: List<Fault>, seed: Int) = DynamicTest.dynamicTest("$name, seed $seed") {
        FaultFleet().use { fleet -> assertPromises(name, Workload(fleet, seed).run(faults), faults) }
    }

    private fun assertPromises(
        name: String,
        history: History,
        faults: List<Fault>,
        alwaysRequired: Set<Promise> = ALWAYS_REQUIRED,
    ) {
        val verdicts = checkAll(history)
        val broken = verdicts.filterIsInstance<Verdict.Broken>().flatMap { it.violations }
        if (broken.isNotEmpty()) saveHistory(name, history)
        assertEquals(emptyList(), broken, "$name; the history is saved in $HISTORIES")
        val required = alwaysRequired + faults.flatMap { it.requiredPromises }
        val unchecked = verdicts.filterIsInstance<Verdict.NothingToCheck>().map { it.promise }
        assertEquals(emptyList(), required.filter { it in unchecked }, "promises without a case in $name")
    }

    private fun saveHistory(name: String, history: History) {
        Files.createDirectories(HISTORIES)
        Files.writeString(HISTORIES.resolve("$name.jsonl"), encodeHistory(history))
    }

    @Test
    fun `a retry after a withdrawal is not sent to the withdrawn version`() {
        FaultFleet().use { fleet ->
            val runners = fleet.runners.values
            runners.forEach { it.setFaults(RunnerFaults(holdMilliseconds = 400, cutAfterTokens = 0)) }
            val answer = Executors.newSingleThreadExecutor().run {
                submit(Callable { fleet.caller.complete(fleet.entry(1), "held") }).also { shutdown() }
            }
            await("a runner has the request") { runners.any { it.receivedRequests().isNotEmpty() } }
            fleet.editLists { it.withdrawing("advisor-small@2") }
            fleet.awaitLatestLists()
            fleet.clock.advance(PAST_ALL_BOUNDS)
            assertEquals(CallerOutcome.MayHaveRun("answer_incomplete"), answer.get())
            fleet.caller.complete(fleet.entry(1), "next")
            assertPromises("held", fleet.finish(), emptyList(), setOf(Promise.WITHDRAWN_VERSION_IDLE))
        }
    }

    @Test
    fun `a deadline that passes at a runner is reported as such`() {
        FaultFleet().use { fleet ->
            fleet.editLists { lists ->
                val plans = lists.plans.plans.map { it.copy(deadlineMilliseconds = 150) }
                lists.copy(plans = lists.plans.copy(plans = plans))
            }
            fleet.awaitLatestLists()
            fleet.runners.values.forEach { it.setFaults(RunnerFaults(holdMilliseconds = 400)) }
            assertEquals(CallerOutcome.MayHaveRun("deadline_passed"), fleet.caller.complete(fleet.entry(1), "late"))
        }
    }

    @TestFactory
    fun `each fault alone`(): List<DynamicTest> =
        faults.mapIndexed { index, fault -> case(fault.name, listOf(fault), index) }

    @TestFactory
    fun `each pair of faults`(): List<DynamicTest> = faults
        .flatMapIndexed { index, first -> faults.drop(index + 1).map { second -> listOf(first, second) } }
        .filter { (first, second) -> first.exclusionGroup == null || first.exclusionGroup != second.exclusionGroup }
        .mapIndexed { seed, pair -> case(pair.joinToString(" and ") { it.name }, pair, seed) }

    private companion object {
        const val THREADS = 6
        const val REQUESTS_IN_PHASE = 8
        val PAST_ALL_BOUNDS = 10.seconds
        val HISTORIES: Path = Path.of("target", "histories")
        val ALWAYS_REQUIRED = setOf(
            Promise.PLAN_ALLOWS_VERSION,
            Promise.SESSION_KEEPS_VERSION,
            Promise.BILLED_ONCE,
            Promise.WHOLE_OWN_ANSWER,
            Promise.AT_MOST_ONCE,
            Promise.LISTS_IN_FORCE,
        )
    }
}
