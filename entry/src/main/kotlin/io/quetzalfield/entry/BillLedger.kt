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

/** Observes the outcomes of storing bills at witnesses. */
public fun interface BillObserver {
    /** Called with the [outcome] of each attempt to store a bill at a witness. */
    public fun onOutcome(outcome: WitnessOutcome)
}

/**
 * Bills each request key of an account once. Before [record] returns, the bill is offered to a witness, preferably in
 * another failure domain; the next [flush] adds it to the incarnation's cell in the store.
 *
 * Once a steward has sealed the cell, the ledger continues under a new incarnation, whose start number is that of
 * [process] with a counter.
 *
 * @param witnessTries number of consecutive flushes that ask again for a witness of a bill without one. The last of
 * them stores the bill without a witness. Another entry may have billed the key in the meantime, which only a witness
 * can report.
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

    /** Consecutive flushes that stored nothing because a bill had no witness. Accessed only during a flush. */
    private var deferredFlushes = 0
    private val sealedBooks = ArrayDeque<BillBook>()

    /** The incarnation under which new bills are numbered. */
    public val incarnation: Incarnation get() = book.incarnation

    /** Records [bill] unless its key was billed before; returns `true` if it was recorded. */
    public fun record(bill: Bill): Boolean = billedKeys.begin(bill.accountKey, process) && settle(bill)

    /** Returns the totals of [account] that the current incarnation has billed. */
    public fun totals(account: ClientAccountId): BillTotals = book.cell.totals[account] ?: BillTotals()

    private fun settle(bill: Bill): Boolean {
        val current = book
        val numbered = current.add(bill)
        val outcome = askWitness(numbered)
        if (outcome == WitnessOutcome.SEALED) {
            current.decide(numbered.sequence, BillProgress.VOID)
            replaceBook(current)
            return settle(bill)
        }
        val isOwned = isOwnedAfter(outcome, bill)
        val ownedProgress = if (outcome == WitnessOutcome.STORED) BillProgress.WITNESSED else BillProgress.LOCAL
        current.decide(numbered.sequence, if (isOwned) ownedProgress else BillProgress.VOID)
        return isOwned
    }

    private fun rebill(bill: Bill) {
        billedKeys.resume(bill.accountKey, process)
        settle(bill)
    }

    /**
     * Writes the cell if it has changed since it was last stored, and tells the witnesses which bills it contains.
     * First offers bills that are not at their first-choice witness to that witness.
     */
    public fun flush(): Unit = synchronized(flushLock) {
        val current = book
        current.billsAfter(current.storedSequence, BillProgress.WITNESSED)
            .filter(witness::isMisplaced)
            .forEach { retryWitness(current, it) }
        current.billsAfter(current.storedSequence, BillProgress.LOCAL).forEach { retryWitness(current, it) }
        if (mustDeferWrite(current)) return
        val written = current.cell
        if (written.sequence != current.storedSequence) write(current, written) else checkOpen(current)
        if (current !== book) return
        witness.forget(current.incarnation, current.storedSequence.coerceAtLeast(0))
        synchronized(bookLock) { sealedBooks.toList() }.forEach(::carryOver)
    }

    /** Flushes as often as needed to store all bills, including those without a witness. */
    public fun flushAll(): Unit = repeat(witnessTries) { flush() }

    /** Counts this flush; returns whether a witness has to be asked again before the cell of [current] is written. */
    private fun mustDeferWrite(current: BillBook): Boolean {
        val isUnwitnessed = current.billsAfter(current.storedSequence, BillProgress.LOCAL).isNotEmpty()
        deferredFlushes = if (isUnwitnessed) deferredFlushes + 1 else 0
        if (deferredFlushes in 1 until witnessTries) return true
        deferredFlushes = 0
        return false
    }

    /** Asks for a witness of [bill] again. After a fault, the first-choice witness may know that the key was billed. */
    private fun retryWitness(current: BillBook, bill: NumberedBill) {
        billedKeys.resume(bill.bill.accountKey, process)
        val outcome = askWitness(bill)
        if (isOwnedAfter(outcome, bill.bill)) return
        logger.info("bill {} of {} for {} is revoked", bill.sequence, bill.incarnation, bill.bill.accountKey)
        current.revoke(bill.sequence)
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

    /** Returns whether this process owns the key of [bill] after the witness has answered [outcome]. */
    private fun isOwnedAfter(outcome: WitnessOutcome, bill: Bill): Boolean {
        val isOwned = billedKeys.finish(bill.accountKey, process)
        if (outcome != WitnessOutcome.ALREADY_BILLED) return isOwned
        billedKeys.relinquish(bill.accountKey, process)
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

    /** Checks for a seal when there is nothing to write, so that the next bill is not numbered under a sealed cell. */
    private fun checkOpen(current: BillBook) {
        val stored = store.read(billCellKey(current.incarnation)).getOrElse { return }
        val cell = stored?.let { BillCell.fromJson(it.value) }
        if (cell?.state != CellState.OPEN) replaceBook(current)
    }

    /** Distinguishes a seal from an earlier write whose answer was lost, which the next flush repeats. */
    private fun resolveConflict(current: BillBook, stored: StoredValue?) {
        val cell = stored?.let { BillCell.fromJson(it.value) }
        if (cell?.state == CellState.OPEN) current.noteRevision(stored.modified) else replaceBook(current)
    }

    private fun replaceBook(sealed: BillBook): Unit = synchronized(bookLock) {
        if (book !== sealed) return
        bookCount++
        sealedBooks += sealed
        book = BillBook(process.billingIncarnation(bookCount))
        logger.warn("the bill cell of {} was sealed; continuing under {}", sealed.incarnation, book.incarnation)
    }

    /**
     * Once the later bills of the sealed cell have been collected, bills those that it does not contain under the new
     * incarnation.
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
        missing.forEach { rebill(it.bill) }
    }

    private companion object {
        val logger = LogManager.getLogger(BillLedger::class.java)
    }
}
