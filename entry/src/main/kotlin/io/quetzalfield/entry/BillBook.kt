package io.quetzalfield.entry

import io.quetzalfield.model.Incarnation
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.bills.BillCell
import io.quetzalfield.store.bills.BillTotals
import java.util.TreeMap

/** The state of a bill in a [BillBook]: without a witness's answer, stored by a witness, without a witness, or void. */
internal enum class BillProgress { PENDING, WITNESSED, LOCAL, VOID }

/**
 * The bills of one incarnation, numbered in sequence. [cell] contains only the bills before the first pending one, so a
 * bill whose witness is slow delays all later bills until its call returns or times out.
 */
internal class BillBook(val incarnation: Incarnation) {
    private class BookedBill(val bill: Bill, var progress: BillProgress = BillProgress.PENDING)

    private val lock = Any()
    private val bills = TreeMap<Long, BookedBill>()
    private var lastSequence = 0L
    private var decided = BillCell()

    /** The revision of the stored cell. Accessed only during a flush. */
    var storedRevision: StoreRevision = StoreRevision.Absent
        private set

    /** The sequence number that the stored cell is known to have. Accessed only during a flush. */
    var storedSequence: Long = NOTHING_STORED
        private set

    /** Whether any bill is still waiting for the answer of its witness. */
    val hasPending: Boolean
        get() = synchronized(lock) { bills.values.any { it.progress == BillProgress.PENDING } }

    /** The totals of all bills before the first pending one. */
    val cell: BillCell get() = synchronized(lock) { decided }

    /** Adds [bill] as pending and assigns it the next sequence number. */
    fun add(bill: Bill): NumberedBill = synchronized(lock) {
        val sequence = ++lastSequence
        bills[sequence] = BookedBill(bill)
        NumberedBill(incarnation, sequence, bill)
    }

    /** Sets the state of the bill [sequence] and adds all bills before the first pending one to [cell]. */
    fun decide(sequence: Long, progress: BillProgress): Unit = synchronized(lock) {
        bills.getValue(sequence).progress = progress
        while (true) {
            val next = bills[decided.sequence + 1] ?: break
            if (next.progress == BillProgress.PENDING) break
            decided = decided.with(next)
        }
    }

    /** Voids the bill [sequence], which is not known to be stored, and removes it from [cell]. */
    fun revoke(sequence: Long): Unit = synchronized(lock) {
        val booked = bills[sequence] ?: return
        if (booked.progress == BillProgress.VOID) return
        booked.progress = BillProgress.VOID
        if (sequence <= decided.sequence) decided = decided.without(booked.bill)
    }

    /** Sets the revision of the stored cell, whose content may differ from [cell]. */
    fun noteRevision(revision: StoreRevision) {
        storedRevision = revision
    }

    /** Records that the store contains the bills through [sequence], and drops them here. */
    fun noteStored(sequence: Long, revision: StoreRevision) {
        storedRevision = revision
        storedSequence = sequence
        synchronized(lock) { bills.headMap(sequence, true).clear() }
    }

    /** Returns the bills after [sequence] that count, witnessed or not. */
    fun billedAfter(sequence: Long): List<NumberedBill> =
        billsAfter(sequence, BillProgress.WITNESSED) + billsAfter(sequence, BillProgress.LOCAL)

    /** Returns the bills after [sequence] whose state is [progress]. */
    fun billsAfter(sequence: Long, progress: BillProgress): List<NumberedBill> = synchronized(lock) {
        bills.tailMap(sequence, false)
            .filterValues { it.progress == progress }
            .map { (number, booked) -> NumberedBill(incarnation, number, booked.bill) }
    }

    private fun BillCell.with(booked: BookedBill): BillCell {
        val counts = booked.progress != BillProgress.VOID
        if (!counts) return copy(sequence = sequence + 1)
        val bill = booked.bill
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
