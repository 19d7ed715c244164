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

/** Checks random single-threaded histories of bills in which at most one entry is lost at a time. */
class BillHistoryTest {
    /** One incarnation of an entry. */
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

        /** Whether a witness has failed to answer since the last flush. */
        var hasWitnessFault = false

        private fun candidates(bill: NumberedBill): List<ListedInstance> =
            witnessOrder(bill.bill.scope, listed.id, listed.failureDomain, fleet.live.map(Entry::listed))

        /** Decides at random whether a call to a witness fails. No call fails during a flush. */
        private fun injectWitnessFault(): Boolean = (!isFlushing && fleet.random.nextInt(16) == 0).also {
            hasWitnessFault = hasWitnessFault || it
        }

        private var isFlushing = false

        fun flush() {
            fleet.logStep("${ledger.incarnation} flushes")
            isFlushing = true
            hasWitnessFault = false
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
                if (!isLast && injectWitnessFault()) {
                    fleet.logStep("$bill: ${candidate.incarnation} was not reached")
                    continue
                }
                val entry = fleet.live.first { it.listed == candidate }
                val verdict = entry.witnessed.store(record)
                if (!isLast && injectWitnessFault()) {
                    fleet.logStep("$bill: the answer $verdict of ${candidate.incarnation} was lost")
                    continue
                }
                fleet.logStep("$bill: ${candidate.incarnation} answered $verdict")
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
        private val wronglySealed = mutableSetOf<Entry>()
        private val folding = BillFolding(store, LocalWitnesses(::logStep) { live.map(Entry::witnessed) })
        private val steps = mutableListOf<String>()

        /** Adds a step of the history to the log that a failed assertion prints. */
        fun logStep(step: String) {
            steps += step
        }

        /** Logged steps that concern [key] or no particular key. */
        fun stepsOf(key: String): String =
            steps.filter { "value=key-" !in it || "value=$key)" in it }.joinToString("\n")

        /**
         * Records a bill with a random key at its home. Each key has its own account, so that the totals show how often
         * each key is billed. A key is reused after at most one further entry has ended: after two, all entries that
         * know the key may have ended.
         */
        fun recordBill() {
            val key = "key-${ended.size - random.nextInt(2)}-${random.nextInt(KEYS)}"
            val bill = Bill(ClientAccountId(key), RequestKey(key), tokens = 1, priceMicros = 0)
            val home = homeOrder(HomeScope(key), live.map(Entry::listed)).first()
            val isBilled = live.first { it.listed == home }.ledger.record(bill)
            logStep("$bill: ${home.incarnation} recorded it: $isBilled")
            if (isBilled) billedKeys += key
        }

        fun flush(entry: Entry = live.random(random)) {
            if (random.nextInt(3) == 0) store.loseAnswers(random.nextInt(3))
            entry.flush()
        }

        fun fold(incarnation: Incarnation) {
            logStep("a steward folds $incarnation")
            if (random.nextInt(3) == 0) store.loseAnswers(random.nextInt(4))
            folding.fold(incarnation)
        }

        /**
         * Kills an entry and starts a new incarnation. Before the next one is killed, the other entries flush and a
         * steward folds the bills of the killed one. Beforehand, entries that were sealed by mistake or whose witness
         * did not answer flush, and the bills of those sealed by mistake are folded.
         */
        fun kill() {
            if (store.isDown) return
            val entry = live.random(random)
            store.loseAnswers(0)
            ended.forEach(folding::fold)
            live.filter { it in wronglySealed || it.hasWitnessFault }.forEach { faulty -> repeat(3) { faulty.flush() } }
            wronglySealed.clear()
            live -= entry
            logStep("${entry.incarnation} has ended")
            live.forEach { it.flush() }
            ended += entry.ledger.incarnation
            fold(ended.last())
            ended.forEach(folding::fold)
            live += Entry(entry.number, runs++, this)
        }

        /** Makes a steward fold the bills of a live entry as if it had ended. */
        fun sealLiveEntry() {
            val entry = live.random(random)
            wronglySealed += entry
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

    private fun run(seed: Int, maySealLiveEntries: Boolean): Fleet {
        val random = Random(seed)
        val fleet = Fleet(random)
        repeat(STEPS) {
            when (random.nextInt(if (maySealLiveEntries) 14 else 13)) {
                in 0..6 -> fleet.recordBill()
                in 7..9 -> fleet.flush()
                10 -> fleet.store.isDown = !fleet.store.isDown
                in 11..12 -> fleet.kill()
                else -> fleet.sealLiveEntry()
            }
        }
        fleet.finish()
        return fleet
    }

    /** Regression seeds; docs/design/billing.md explains their failures. */
    @Test
    fun `histories that failed before bill each key once`() = listOf(3_628, 15_990).forEach(::assertBilledOnce)

    @Test
    fun `each billed key is billed once`() = (1..HISTORIES).forEach(::assertBilledOnce)

    private fun assertBilledOnce(seed: Int) {
        val fleet = run(seed, maySealLiveEntries = seed % 2 == 0)
        val sums = fleet.billed()
        val wrong = (fleet.billedKeys + sums.keys).distinct().filter { key ->
            (sums[key] ?: 0) != fleet.billedKeys.count(key::equals).coerceAtMost(1).toLong()
        }
        val explanation = wrong.firstOrNull()?.let(fleet::stepsOf)
        assertEquals(
            fleet.billedKeys.associateWith { 1L },
            sums.filterValues { it > 0 },
            "seed $seed:\n$explanation\n",
        )
    }
}
