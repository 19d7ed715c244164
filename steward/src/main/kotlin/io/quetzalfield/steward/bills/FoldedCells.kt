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
 * Removes what folding leaves behind: cells that were folded [retention] ago, and their names in the accounts.
 *
 * @param retention longer than witnesses keep the bills of an incarnation that has fallen silent.
 */
public class FoldedCells(
    private val store: KeyValueStore,
    private val clock: Clock = Clock.System,
    private val retention: Duration = 1.hours,
) {
    /** Deletes the folded cells that are old enough. */
    public fun deleteOld() {
        val cells = store.list(BILL_CELL_PREFIX).getOrElse { return }
        cells.filter(::isOld).forEach { store.compareAndDelete(it.key, it.modified) }
    }

    /**
     * Drops the names of incarnations without a cell from the accounts. The accounts are read before the cells: an
     * incarnation that an account names had a cell then, so a cell that is missing later was deleted after folding.
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

    private fun isOld(stored: StoredValue): Boolean {
        val cell = BillCell.fromJson(stored.value)
        val foldedAt = Instant.fromEpochMilliseconds(cell.foldedAtEpochMilliseconds)
        return cell.state == CellState.FOLDED && clock.now() - foldedAt > retention
    }
}
