package io.quetzalfield.steward.bills

import arrow.core.getOrElse
import io.quetzalfield.model.Incarnation
import io.quetzalfield.store.KeyValueStore
import io.quetzalfield.store.StoredValue
import io.quetzalfield.store.bills.ACCOUNT_BILL_PREFIX
import io.quetzalfield.store.bills.AccountBill
import io.quetzalfield.store.bills.BILL_CELL_PREFIX
import io.quetzalfield.store.bills.BillCell
import io.quetzalfield.store.bills.CellState
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Instant

/**
 * Cleans up after folding: removes cells that were folded more than [retention] ago, and their names in the accounts.
 *
 * @param retention must exceed the time for which witnesses keep the bills of a silent incarnation.
 */
public class FoldedCells(
    private val store: KeyValueStore,
    private val clock: Clock = Clock.System,
    private val retention: Duration = 1.hours,
) {
    /** Deletes the cells that were folded more than [retention] ago. */
    public fun deleteOld() {
        val cells = store.list(BILL_CELL_PREFIX).getOrElse { return }
        cells.filter(::isExpired).forEach { store.compareAndDelete(it.key, it.modified) }
    }

    /**
     * Removes the names of incarnations without a cell from the accounts. The accounts are read before the cells: an
     * incarnation named in an account had a cell at that time, so a missing cell was deleted after folding.
     */
    public fun pruneAccounts() {
        val accounts = store.list(ACCOUNT_BILL_PREFIX).getOrElse { return }
        val cells = store.list(BILL_CELL_PREFIX).getOrElse { return }
        val existing = cells.mapNotNull { Incarnation.parse(it.key.removePrefix(BILL_CELL_PREFIX)) }.toSet()
        for (stored in accounts) {
            val bill = AccountBill.fromJson(stored.value)
            val kept = bill.folded intersect existing
            if (kept.size < bill.folded.size) {
                store.compareAndSwap(stored.key, stored.modified, bill.copy(folded = kept).toJson())
            }
        }
    }

    private fun isExpired(stored: StoredValue): Boolean {
        val cell = BillCell.fromJson(stored.value)
        val foldedAt = Instant.fromEpochMilliseconds(cell.foldedAtEpochMilliseconds)
        return cell.state == CellState.FOLDED && clock.now() - foldedAt > retention
    }
}
