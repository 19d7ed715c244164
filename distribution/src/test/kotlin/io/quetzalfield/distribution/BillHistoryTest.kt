package io.quetzalfield.distribution

import io.quetzalfield.decision.HomeScope
import io.quetzalfield.decision.homeOrder
import io.quetzalfield.decision.witnessOrder
import io.quetzalfield.entry.Bill
import io.quetzalfield.entry.BillLedger
import io.quetzalfield.entry.BillWitness
import io.quetzalfield.entry.BilledKeys
import io.quetzalfield.entry.NumberedBill
import io.quetzalfield.entry.WitnessOutcome
import io.quetzalfield.entry.WitnessedBills
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.InstanceKind
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.model.RequestKey
import io.quetzalfield.model.incarnation
import io.quetzalfield.peer.wire.BillRecord
import io.quetzalfield.peer.wire.WitnessReply.Verdict
import io.quetzalfield.steward.bills.BillFolding
import io.quetzalfield.store.bills.ACCOUNT_BILL_PREFIX
import io.quetzalfield.store.bills.AccountBill
import io.quetzalfield.store.bills.BILL_CELL_PREFIX
import io.quetzalfield.store.bills.BillCell
import io.quetzalfield.store.bills.BillTotals
import io.quetzalfield.store.bills.CellState
import io.quetzalfield.store.fakes.InMemoryKeyValueStore
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

private const val HISTORIES = 20_000
private const val STEPS = 40
private const val KEYS = 12

/** Random histories of bills, with one entry lost at a time, in one thread. */
class BillHistoryTest {
    /** One run of an entry. */
    private inner class Entry(val number: Int, run: Int, val fleet: Fleet) : BillWitness {
        val incarnation = Incarnation(InstanceId("entry-$number"), "$run")
        val listed = ListedInstance(
            id = incarnation.instance,
            kind = InstanceKind.ENTRY,
            address = "http://h:$number",
            failureDomain = FailureDomainId("domain-${number % 3}"),
            start = incarnation.start,
        )
        val keys = BilledKeys()
        val witnessed = WitnessedBills(keys)
        val ledger = BillLedger(incarnation, fleet.store, this, keys)
        private val holders = mutableMapOf<Pair<Incarnation, Long>, Entry>()

        /** Whether a witness did not answer since the last flush. */
        var hasFault = false

        private fun candidates(bill: NumberedBill): List<ListedInstance> =
            witnessOrder(bill.bill.scope, listed.id, listed.failureDomain, fleet.live.map(Entry::listed))

        private fun isFaulty(): Boolean = (!isFlushing && fleet.random.nextInt(16) == 0).also {
            hasFault =
                hasFault || it
        }

        private var isFlushing = false

        fun flush() {
            fleet.note("${ledger.incarnation} flushes")
            isFlushing = true
            hasFault = false
            ledger.flush()
            isFlushing = false
        }

        override fun store(bill: NumberedBill): WitnessOutcome {
            val record = BillRecord.newBuilder()
                .setIncarnation("${bill.incarnation}")
                .setSequence(bill.sequence)
                .setClientAccount(bill.bill.account.value)
                .setRequestKey(bill.bill.key.value)
                .setTokens(1)
                .build()
            val candidates = candidates(bill)
            for (candidate in candidates) {
                val isLast = candidate == candidates.last()
                if (!isLast && isFaulty()) {
                    fleet.note("$bill: ${candidate.incarnation} was not reached")
                    continue
                }
                val entry = fleet.live.first { it.listed == candidate }
                val verdict = entry.witnessed.store(record)
                if (!isLast && isFaulty()) {
                    fleet.note("$bill: the answer $verdict of ${candidate.incarnation} was lost")
                    continue
                }
                fleet.note("$bill: ${candidate.incarnation} answered $verdict")
                if (verdict == Verdict.STORED) holders[bill.incarnation to bill.sequence] = entry
                return WitnessOutcome.valueOf(verdict.name)
            }
            return WitnessOutcome.UNREACHABLE
        }

        override fun forget(incarnation: Incarnation, sequence: Long) =
            fleet.live.forEach { it.witnessed.forget(incarnation, sequence) }

        override fun isMisplaced(bill: NumberedBill): Boolean =
            holders[bill.incarnation to bill.sequence]?.let { it.listed != candidates(bill).first() } ?: false
    }

    private inner class Fleet(val random: Random) {
        val store = InMemoryKeyValueStore()
        private var runs = 0
        val live = MutableList(4) { Entry(it, runs++, this) }
        val billedKeys = mutableListOf<String>()
        val ended = mutableListOf<Incarnation>()
        private val mistaken = mutableSetOf<Entry>()
        private val folding = BillFolding(store, LocalWitnesses(::note) { live.map(Entry::witnessed) })
        private val notes = mutableListOf<String>()

        /** Notes a step of the history, to be printed with a failure. */
        fun note(step: String) {
            notes += step
        }

        /** The steps that concern [key] or all keys. */
        fun notesOn(key: String): String =
            notes.filter { "value=key-" !in it || "value=$key)" in it }.joinToString("\n")

        /**
         * Each key is an account of its own, so that the sums tell each key's bills. A key comes again until one entry
         * has ended since, but not two: then those who knew it may be gone.
         */
        fun answer() {
            val key = "key-${ended.size - random.nextInt(2)}-${random.nextInt(KEYS)}"
            val bill = Bill(ClientAccountId(key), RequestKey(key), tokens = 1, priceMicros = 0)
            val home = homeOrder(HomeScope(key), live.map(Entry::listed)).first()
            val isBilled = live.first { it.listed == home }.ledger.record(bill)
            note("$bill: ${home.incarnation} recorded it: $isBilled")
            if (isBilled) billedKeys += key
        }

        fun flush(entry: Entry = live.random(random)) {
            if (random.nextInt(3) == 0) store.loseAnswers(random.nextInt(3))
            entry.flush()
        }

        fun fold(incarnation: Incarnation) {
            note("a steward folds $incarnation")
            if (random.nextInt(3) == 0) store.loseAnswers(random.nextInt(4))
            folding.fold(incarnation)
        }

        /**
         * Ends an entry; the others notice it, and a steward folds it, before the next one ends. Entries that were
         * sealed by mistake, or whose witness did not answer, have flushed since; those sealed by mistake are folded.
         */
        fun kill() {
            if (store.isDown) return
            val entry = live.random(random)
            store.loseAnswers(0)
            ended.forEach(folding::fold)
            live.filter { it in mistaken || it.hasFault }.forEach { faulty -> repeat(3) { faulty.flush() } }
            mistaken.clear()
            live -= entry
            note("${entry.incarnation} has ended")
            live.forEach { it.flush() }
            ended += entry.ledger.incarnation
            fold(ended.last())
            ended.forEach(folding::fold)
            live += Entry(entry.number, runs++, this)
        }

        /** Lets a steward take a living entry for ended. */
        fun sealByMistake() {
            val entry = live.random(random)
            mistaken += entry
            ended += entry.ledger.incarnation
            fold(ended.last())
        }

        fun finish() {
            store.loseAnswers(0)
            store.isDown = false
            repeat(4) { live.forEach { it.flush() } }
            repeat(2) { ended.forEach(folding::fold) }
        }

        fun billed(): Map<String, Long> {
            val sums = mutableMapOf<String, Long>()
            fun add(key: String, totals: BillTotals) = sums.merge(key, totals.answers, Long::plus)
            for (stored in store.list(ACCOUNT_BILL_PREFIX).getOrNull().orEmpty()) {
                add(stored.key.removePrefix(ACCOUNT_BILL_PREFIX), AccountBill.fromJson(stored.value).totals)
            }
            store.list(BILL_CELL_PREFIX).getOrNull().orEmpty()
                .map { BillCell.fromJson(it.value) }
                .filter { it.state != CellState.FOLDED }
                .forEach { cell -> cell.totals.forEach { (account, totals) -> add(account.value, totals) } }
            return sums
        }
    }

    private fun run(seed: Int, mayMistake: Boolean): Fleet {
        val random = Random(seed)
        val fleet = Fleet(random)
        repeat(STEPS) {
            when (random.nextInt(if (mayMistake) 14 else 13)) {
                in 0..6 -> fleet.answer()
                in 7..9 -> fleet.flush()
                10 -> fleet.store.isDown = !fleet.store.isDown
                in 11..12 -> fleet.kill()
                else -> fleet.sealByMistake()
            }
        }
        fleet.finish()
        return fleet
    }

    /** Seeds that failed once; docs/design/billing.md tells why. */
    @Test
    fun `histories that failed before bill each key once`() = listOf(3_628, 15_990).forEach(::assertBilledOnce)

    @Test
    fun `each billed key is billed once`() = (1..HISTORIES).forEach(::assertBilledOnce)

    private fun assertBilledOnce(seed: Int) {
        val fleet = run(seed, mayMistake = seed % 2 == 0)
        val sums = fleet.billed()
        val wrong = (fleet.billedKeys + sums.keys).distinct().filter { key ->
            (sums[key] ?: 0) != fleet.billedKeys.count(key::equals).coerceAtMost(1).toLong()
        }
        val explanation = wrong.firstOrNull()?.let(fleet::notesOn)
        assertEquals(
            fleet.billedKeys.associateWith { 1L },
            sums.filterValues { it > 0 },
            "seed $seed:\n$explanation\n",
        )
    }
}
