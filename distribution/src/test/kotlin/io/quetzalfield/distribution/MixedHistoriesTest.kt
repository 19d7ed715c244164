package io.quetzalfield.distribution

import io.quetzalfield.entry.Bill
import io.quetzalfield.entry.BillLedger
import io.quetzalfield.entry.BillWitness
import io.quetzalfield.entry.BilledKeys
import io.quetzalfield.entry.ListsHolder
import io.quetzalfield.entry.NumberedBill
import io.quetzalfield.entry.WitnessOutcome
import io.quetzalfield.entry.WitnessedBills
import io.quetzalfield.history.History
import io.quetzalfield.history.HistoryEvent
import io.quetzalfield.history.HistoryHeader
import io.quetzalfield.history.HistoryTime
import io.quetzalfield.history.listsChecker
import io.quetzalfield.model.ClientPlanList
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.ModelList
import io.quetzalfield.model.OperatorLists
import io.quetzalfield.model.RequestKey
import io.quetzalfield.peer.wire.BillRecord
import io.quetzalfield.peer.wire.WitnessReply.Verdict
import io.quetzalfield.steward.bills.BillFolding
import io.quetzalfield.steward.bills.toRecord
import io.quetzalfield.store.DutyLease
import io.quetzalfield.store.bills.BillTotals
import io.quetzalfield.store.fakes.InMemoryKeyValueStore
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.ShrinkingMode
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/**
 * Checks a bounded number of random histories of the components that keep state. jqwik prints the seed of a failure;
 * each history is determined by its own number alone, which the failure message contains.
 */
class MixedHistoriesTest {
    @Provide
    fun seeds(): Arbitrary<Long> = Arbitraries.longs()

    /** The billing part of an entry; the two entries are each other's witness. */
    private class BillingEntry(val incarnation: Incarnation, store: InMemoryKeyValueStore, peer: () -> BillingEntry) {
        private val billedKeys = BilledKeys()
        val witnessed = WitnessedBills(billedKeys)
        val ledger = BillLedger(incarnation, store, PeerWitness(peer), billedKeys)
    }

    private class PeerWitness(private val peer: () -> BillingEntry) : BillWitness {
        override fun store(bill: NumberedBill): WitnessOutcome = when (peer().witnessed.store(bill.toRecord())) {
            Verdict.STORED -> WitnessOutcome.STORED
            Verdict.ALREADY_BILLED -> WitnessOutcome.ALREADY_BILLED
            Verdict.SEALED -> WitnessOutcome.SEALED
            else -> WitnessOutcome.UNREACHABLE
        }

        override fun forget(incarnation: Incarnation, sequence: Long) = peer().witnessed.forget(incarnation, sequence)

        override fun isMisplaced(bill: NumberedBill): Boolean = false
    }

    /**
     * Simulates two entries and a steward; [step] performs one random action. A history has either pauses, in which a
     * steward folds the bills of an entry that continues later, or at most one crash. The other entry stores its bills
     * immediately after the crash: the crashed entry was its witness, so these bills have no other copy.
     */
    private class BillingSimulation(private val random: Random = Random(0)) {
        val store = InMemoryKeyValueStore()
        val keys = mutableSetOf<RequestKey>()
        val steps = mutableListOf<String>()
        private var starts = 0
        private val hasPauses = random.nextBoolean()
        private var hasCrashed = false
        private val ended = mutableSetOf<Incarnation>()
        private val entries = mutableListOf<BillingEntry>()

        init {
            repeat(2) { entries += start(it) }
        }

        private fun start(number: Int) = BillingEntry(
            incarnation = Incarnation(InstanceId("entry-$number"), "${starts++}"),
            store = store,
            peer = { entries[1 - number] },
        )

        fun step() {
            val number = random.nextInt(entries.size)
            when (random.nextInt(10)) {
                in 0..4 -> record(entries[number])

                in 5..6 -> flush(entries[number])

                7 -> loseAnswers(random.nextInt(3))

                else -> if (hasPauses) {
                    pause(number)
                } else if (!hasCrashed) {
                    crash(number)
                }
            }
        }

        private fun record(entry: BillingEntry) = record(entry, RequestKey("key-${random.nextInt(12)}"))

        private fun record(entry: BillingEntry, key: RequestKey) {
            keys += key
            steps += "${entry.ledger.incarnation} bills $key"
            entry.ledger.record(Bill(Account.WORKSHOP.id, key, tokens = 10, priceMicros = 100))
        }

        private fun flush(entry: BillingEntry) {
            steps += "${entry.ledger.incarnation} flushes"
            entry.ledger.flush()
        }

        private fun loseAnswers(count: Int) {
            steps += "the store loses $count answers"
            store.loseAnswers(count)
        }

        /** Pauses entry [number]: a steward assumes that it has ended and folds its bills. */
        fun pause(number: Int) {
            fold(entries[number].ledger.incarnation)
        }

        fun flush(number: Int) = flush(entries[number])

        fun record(number: Int, key: String) = record(entries[number], RequestKey(key))

        fun crash(number: Int) {
            steps += "${entries[number].ledger.incarnation} crashes"
            hasCrashed = true
            ended += entries[number].ledger.incarnation
            entries[number] = start(number)
            flush(entries[1 - number])
        }

        /** Folds the bills of [incarnation], which has ended or, as its entry is paused, is assumed to have ended. */
        private fun fold(incarnation: Incarnation): Boolean {
            steps += "$incarnation is folded"
            ended += incarnation
            return BillFolding(
                store,
                LocalWitnesses {
                    entries.map(BillingEntry::witnessed)
                },
            ).fold(incarnation).isRight()
        }

        /**
         * Ends the history without further faults: folds ended incarnations, makes the entries store their bills and
         * returns the stored totals.
         */
        fun settle(): BillTotals {
            store.loseAnswers(0)
            ended.toList().forEach { check(fold(it)) }
            repeat(SETTLING_ROUNDS) { entries.forEach { it.ledger.flush() } }
            return StoredBills.read(store).sums[Account.WORKSHOP.id] ?: BillTotals()
        }
    }

    private companion object {
        const val SETTLING_ROUNDS = 3
    }

    @Property(tries = 5_000, shrinking = ShrinkingMode.OFF)
    fun `each key is billed once whatever crashes, pauses or gets lost`(@ForAll("seeds") seed: Long) {
        val random = Random(seed)
        val simulation = BillingSimulation(random)
        repeat(random.nextInt(40)) { simulation.step() }
        assertEquals(simulation.keys.size.toLong(), simulation.settle().answers, "history $seed: ${simulation.steps}")
    }

    @Test
    fun `a bill is kept when its entry resumes after a fold and the witness has been restarted`() {
        val simulation = BillingSimulation()
        simulation.record(0, "before")
        simulation.flush(0)
        simulation.pause(0)
        simulation.crash(1)
        simulation.record(0, "after")
        assertEquals(2, simulation.settle().answers, "${simulation.steps}")
    }

    @Property(tries = 3_000, shrinking = ShrinkingMode.OFF)
    fun `lists that arrive in any order never revert and reach all entries`(@ForAll("seeds") seed: Long) {
        val random = Random(seed)
        val holders = List(4) { ListsHolder() }
        val events = mutableListOf<HistoryEvent>()
        val newest = random.nextLong(1, 8)
        (1..newest).mapTo(events) { HistoryEvent.ListsAccepted(HistoryTime(it), listsOf(it)) }
        fun recordRevisions(time: Long) = holders.forEachIndexed { index, holder ->
            val entry = Incarnation(InstanceId("entry-$index"), "1")
            events += HistoryEvent.RevisionSeen(HistoryTime(time), entry, holder.revision)
        }
        repeat(random.nextInt(30)) { step ->
            if (random.nextBoolean()) {
                holders.random(random).adopt(listsOf(random.nextLong(1, newest + 1)))
            } else {
                holders.random(random).adoptJson(holders.random(random).toJson())
            }
            recordRevisions(10L + step)
        }
        holders.random(random).adopt(listsOf(newest))
        repeat(2) { holders.forEach { from -> holders.forEach { it.adoptJson(from.toJson()) } } }
        recordRevisions(time = 10_000)
        assertEquals(emptyList(), listsChecker.violations(History(HistoryHeader(), events)), "history $seed")
    }

    private fun listsOf(revision: Long) = OperatorLists(ListsRevision(revision), ClientPlanList(), ModelList())

    @Property(tries = 4_000, shrinking = ShrinkingMode.OFF)
    fun `a duty has one holder at a time whatever pauses, fails or gets lost`(@ForAll("seeds") seed: Long) {
        val random = Random(seed)
        val time = TestTimeSource()
        val store = InMemoryKeyValueStore(time)
        val leases = List(3) { index ->
            DutyLease(store, "duty", Incarnation(InstanceId("steward-$index"), "1"), 6.seconds, 2.seconds, time)
        }
        var highest = 0L
        repeat(random.nextInt(60)) {
            when (random.nextInt(8)) {
                in 0..3 -> leases.random(random).renew()
                4 -> time += random.nextInt(9_000).milliseconds
                5 -> store.isDown = random.nextBoolean()
                6 -> store.loseAnswers(random.nextInt(3))
                else -> leases.random(random).release()
            }
            val held = leases.mapNotNull { it.held }
            assertTrue(held.size <= 1, "history $seed: ${held.size} holders")
            val number = held.firstOrNull()?.fencingNumber ?: highest
            assertTrue(number >= highest, "history $seed: fencing number $number after $highest")
            highest = number
        }
    }
}

private fun NumberedBill.toRecord(): BillRecord = BillRecord.newBuilder()
    .setIncarnation("$incarnation")
    .setSequence(sequence)
    .setClientAccount(bill.account.value)
    .setRequestKey(bill.key.value)
    .setTokens(bill.tokens)
    .setPriceMicros(bill.priceMicros)
    .build()
