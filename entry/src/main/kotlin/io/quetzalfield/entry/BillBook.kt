package io.quetzalfield.entry

import io.quetzalfield.model.Incarnation
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.bills.BillCell
import io.quetzalfield.store.bills.BillTotals
import java.util.TreeMap

/** How far a bill of a [BillBook] has come. */
internal enum class BillProgress { PENDING, WITNESSED, LOCAL, VOID }

/**
 * The bills of one incarnation. Each gets the next sequence number; [cell] contains the unbroken row of those that are
 * decided, so that a bill whose witness is slow holds back the later ones for as long as the call may take.
 */
internal class BillBook(val incarnation: Incarnation) {
    private class Line(val bill: Bill, var progress: BillProgress = BillProgress.PENDING)

    private val lock = Any()
    private val lines = TreeMap<Long, Line>()
    private var lastSequence = 0L
    private var decided = BillCell()

    /** The revision of the stored cell; only the thread that flushes uses it. */
    var storedRevision: StoreRevision = StoreRevision.Absent
        private set

    /** The sequence number that the stored cell is known to have; only the thread that flushes uses it. */
    var storedSequence: Long = NOTHING_STORED
        private set

    /** Whether the witness of any bill has not answered yet. */
    val hasPending: Boolean
        get() = synchronized(lock) { lines.values.any { it.progress == BillProgress.PENDING } }

    /** All that is billed up to the first pending bill. */
    val cell: BillCell get() = synchronized(lock) { decided }

    /** Enters [bill] as pending. */
    fun open(bill: Bill): NumberedBill = synchronized(lock) {
        val sequence = ++lastSequence
        lines[sequence] = Line(bill)
        NumberedBill(incarnation, sequence, bill)
    }

    /** Decides the bill [sequence]. */
    fun decide(sequence: Long, progress: BillProgress): Unit = synchronized(lock) {
        lines.getValue(sequence).progress = progress
        while (true) {
            val next = lines[decided.sequence + 1] ?: break
            if (next.progress == BillProgress.PENDING) break
            decided = decided.with(next)
        }
    }

    /** Lets the bill [sequence], which is not known to be stored, count no more. */
    fun takeBack(sequence: Long): Unit = synchronized(lock) {
        val line = lines[sequence] ?: return
        if (line.progress == BillProgress.VOID) return
        line.progress = BillProgress.VOID
        if (sequence <= decided.sequence) decided = decided.without(line.bill)
    }

    /** Notes the revision of a stored cell whose content is not known to be the present one. */
    fun noteRevision(revision: StoreRevision) {
        storedRevision = revision
    }

    /** Notes that the store has the bills up to [sequence]. */
    fun noteStored(sequence: Long, revision: StoreRevision) {
        storedRevision = revision
        storedSequence = sequence
        synchronized(lock) { lines.headMap(sequence, true).clear() }
    }

    /** The bills after [sequence] that count. */
    fun billedAfter(sequence: Long): List<NumberedBill> =
        linesAfter(sequence, BillProgress.WITNESSED) + linesAfter(sequence, BillProgress.LOCAL)

    /** The bills after [sequence] that have come as far as [progress]. */
    fun linesAfter(sequence: Long, progress: BillProgress): List<NumberedBill> = synchronized(lock) {
        lines.tailMap(sequence, false)
            .filterValues { it.progress == progress }
            .map { (number, line) -> NumberedBill(incarnation, number, line.bill) }
    }

    private fun BillCell.with(line: Line): BillCell {
        val counts = line.progress != BillProgress.VOID
        if (!counts) return copy(sequence = sequence + 1)
        val bill = line.bill
        val sum = (totals[bill.account] ?: BillTotals()) + BillTotals(1, bill.tokens, bill.priceMicros)
        return copy(sequence = sequence + 1, totals = totals + (bill.account to sum))
    }

    private fun BillCell.without(bill: Bill): BillCell {
        val sum = (totals[bill.account] ?: BillTotals()) + BillTotals(-1, -bill.tokens, -bill.priceMicros)
        return copy(totals = totals + (bill.account to sum))
    }

    private companion object {
        const val NOTHING_STORED = -1L
    }
}
