package io.quetzalfield.entry

import arrow.core.Either
import arrow.core.getOrElse
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.store.KeyValueStore
import io.quetzalfield.store.StoredValue
import io.quetzalfield.store.SwapResult
import io.quetzalfield.store.bills.BillCell
import io.quetzalfield.store.bills.BillTotals
import io.quetzalfield.store.bills.CellState
import io.quetzalfield.store.bills.billCellKey
import io.quetzalfield.store.bills.billingIncarnation
import org.apache.logging.log4j.LogManager

/** Counts what becomes of bills. */
public fun interface BillObserver {
    public fun onOutcome(outcome: WitnessOutcome)
}

/**
 * Bills each request key of an account once. A bill is at a witness in another failure domain before [record] returns,
 * and comes into the incarnation's cell of the store with the next [flush].
 *
 * Once a steward has sealed the cell, the ledger goes on under a new incarnation, whose start number is that of
 * [process] with a counter.
 *
 * @param witnessTries flushes, this one included, that ask again for a witness of a bill that has none, before it is
 * stored without one. Another entry may have billed its key meanwhile, which only a witness tells.
 */
public class BillLedger(
    private val process: Incarnation,
    private val store: KeyValueStore,
    private val witness: BillWitness = BillWitness.None,
    private val billedKeys: BilledKeys = BilledKeys(),
    private val observer: BillObserver = BillObserver { },
    private val witnessTries: Int = 1,
) {
    private val flushLock = Any()
    private val bookLock = Any()

    @Volatile
    private var book = BillBook(process)
    private var bookCount = 1

    /** Flushes in a row that have stored nothing as a bill had no witness; only the thread that flushes uses it. */
    private var heldFlushes = 0
    private val sealedBooks = ArrayDeque<BillBook>()

    /** The incarnation under which bills are numbered now. */
    public val incarnation: Incarnation get() = book.incarnation

    /** Records [bill] unless its key was billed before; `true` when it was recorded. */
    public fun record(bill: Bill): Boolean = billedKeys.begin(bill.accountKey, process) && settle(bill)

    /** The sums of [account] that the present incarnation has billed. */
    public fun totals(account: ClientAccountId): BillTotals = book.cell.totals[account] ?: BillTotals()

    private fun settle(bill: Bill): Boolean {
        val current = book
        val numbered = current.open(bill)
        val outcome = askWitness(numbered)
        if (outcome == WitnessOutcome.SEALED) {
            current.decide(numbered.sequence, BillProgress.VOID)
            replaceBook(current)
            return settle(bill)
        }
        val isOwned = isOwnedAfter(outcome, bill)
        val kept = if (outcome == WitnessOutcome.STORED) BillProgress.WITNESSED else BillProgress.LOCAL
        current.decide(numbered.sequence, if (isOwned) kept else BillProgress.VOID)
        return isOwned
    }

    private fun settleAgain(bill: Bill) {
        billedKeys.resume(bill.accountKey, process)
        settle(bill)
    }

    /**
     * Writes the cell if it has changed since it was last stored, and tells the witnesses what is stored. Before that,
     * bills that are not at their first choice of witness are stored there.
     */
    public fun flush(): Unit = synchronized(flushLock) {
        val current = book
        current.linesAfter(current.storedSequence, BillProgress.WITNESSED)
            .filter(witness::isMisplaced)
            .forEach { storeAgain(current, it) }
        current.linesAfter(current.storedSequence, BillProgress.LOCAL).forEach { storeAgain(current, it) }
        if (isHeldBack(current)) return
        val written = current.cell
        if (written.sequence != current.storedSequence) write(current, written) else checkOpen(current)
        if (current !== book) return
        witness.forget(current.incarnation, current.storedSequence.coerceAtLeast(0))
        synchronized(bookLock) { sealedBooks.toList() }.forEach(::carryOver)
    }

    /** Flushes until nothing is held back for want of a witness. */
    public fun flushAll(): Unit = repeat(witnessTries) { flush() }

    /** Whether a bill of [current] without a witness is to be tried again before anything is stored. */
    private fun isHeldBack(current: BillBook): Boolean {
        val isUnwitnessed = current.linesAfter(current.storedSequence, BillProgress.LOCAL).isNotEmpty()
        heldFlushes = if (isUnwitnessed) heldFlushes + 1 else 0
        if (heldFlushes in 1 until witnessTries) return true
        heldFlushes = 0
        return false
    }

    /** Stores [bill] at its first choice of witness, which may know what a fault has hidden: that the key is billed. */
    private fun storeAgain(current: BillBook, bill: NumberedBill) {
        billedKeys.resume(bill.bill.accountKey, process)
        val outcome = askWitness(bill)
        if (isOwnedAfter(outcome, bill.bill)) return
        logger.info("bill {} of {} for {} is taken back", bill.sequence, bill.incarnation, bill.bill.accountKey)
        current.takeBack(bill.sequence)
    }

    private fun askWitness(bill: NumberedBill): WitnessOutcome {
        val outcome = witness.store(bill)
        observer.onOutcome(outcome)
        if (outcome != WitnessOutcome.STORED) {
            logger.info(
                "bill {} of {} for {}: {}",
                bill.sequence,
                bill.incarnation,
                bill.bill.accountKey,
                outcome.label,
            )
        }
        return outcome
    }

    /** Whether the key of [bill] is this process's own after its witness has answered [outcome]. */
    private fun isOwnedAfter(outcome: WitnessOutcome, bill: Bill): Boolean {
        val isOwned = billedKeys.finish(bill.accountKey, process)
        if (outcome != WitnessOutcome.ALREADY_BILLED) return isOwned
        billedKeys.yieldTo(bill.accountKey, process)
        return false
    }

    private fun write(current: BillBook, written: BillCell) {
        val result = store.compareAndSwap(billCellKey(current.incarnation), current.storedRevision, written.toJson())
        if (result !is Either.Right) return
        when (val swap = result.value) {
            is SwapResult.Swapped -> current.noteStored(written.sequence, swap.stored)
            is SwapResult.Conflict -> resolveConflict(current, swap.current)
        }
    }

    /** Notices a seal while there is nothing to write, so that the next bill is not numbered under a sealed cell. */
    private fun checkOpen(current: BillBook) {
        val stored = store.read(billCellKey(current.incarnation)).getOrElse { return }
        val cell = stored?.let { BillCell.fromJson(it.value) }
        if (cell?.state != CellState.OPEN) replaceBook(current)
    }

    /** Tells an earlier write of this ledger, whose answer was lost and which the next flush repeats, from a seal. */
    private fun resolveConflict(current: BillBook, stored: StoredValue?) {
        val cell = stored?.let { BillCell.fromJson(it.value) }
        if (cell?.state == CellState.OPEN) current.noteRevision(stored.modified) else replaceBook(current)
    }

    private fun replaceBook(sealed: BillBook): Unit = synchronized(bookLock) {
        if (book !== sealed) return
        bookCount++
        sealedBooks += sealed
        book = BillBook(process.billingIncarnation(bookCount))
        logger.warn("the bill cell of {} was sealed; bills go on under {}", sealed.incarnation, book.incarnation)
    }

    /**
     * Bills again, under the new incarnation, what the sealed cell does not contain once its later bills are collected.
     */
    private fun carryOver(sealed: BillBook) {
        if (sealed.hasPending) return
        val stored = store.read(billCellKey(sealed.incarnation)).getOrElse { return }
        val cell = stored?.let { BillCell.fromJson(it.value) }
        if (cell?.state == CellState.OPEN || cell?.state == CellState.SEALED) return
        synchronized(bookLock) { sealedBooks.remove(sealed) }
        if (cell == null) return
        val missing = sealed.billedAfter(cell.sequence).filterNot { it.sequence in cell }
        logger.info("{} bills of {} are carried over to {}", missing.size, sealed.incarnation, book.incarnation)
        missing.forEach { settleAgain(it.bill) }
    }

    private companion object {
        val logger = LogManager.getLogger(BillLedger::class.java)
    }
}
