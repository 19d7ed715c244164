package io.quetzalfield.distribution

import io.quetzalfield.history.HistoryEvent
import io.quetzalfield.history.HistoryRecorder
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.store.KeyValueStore
import io.quetzalfield.store.bills.ACCOUNT_BILL_PREFIX
import io.quetzalfield.store.bills.AccountBill
import io.quetzalfield.store.bills.BILL_CELL_PREFIX
import io.quetzalfield.store.bills.BillCell
import io.quetzalfield.store.bills.BillTotals
import io.quetzalfield.store.bills.CellState

/** Bills in the store: the [cells] of incarnations and the [accounts] into which cells of ended ones are folded. */
internal class StoredBills(
    private val cells: Map<Incarnation, BillCell>,
    private val accounts: Map<ClientAccountId, AccountBill>,
) {
    /** Totals billed to each account: its folded bill plus the cells that are not folded into it. */
    val sums: Map<ClientAccountId, BillTotals>
        get() {
            val sums = accounts.mapValues { it.value.totals }.toMutableMap()
            for ((incarnation, cell) in cells.filterValues { it.state != CellState.FOLDED }) {
                val missing = cell.totals.filterKeys { account -> !isFolded(incarnation, account) }
                missing.forEach { (account, totals) -> sums.merge(account, totals, BillTotals::plus) }
            }
            return sums
        }

    /** Number of answers billed to all accounts. */
    val answers: Long get() = sums.values.sumOf(BillTotals::answers)

    private fun isFolded(incarnation: Incarnation, account: ClientAccountId): Boolean =
        incarnation in accounts[account]?.folded.orEmpty()

    /** Records the cells and the totals of all accounts. */
    fun recordTo(recorder: HistoryRecorder) {
        for ((incarnation, cell) in cells) {
            recorder.record { time ->
                HistoryEvent.BillCellSeen(
                    at = time,
                    entry = incarnation,
                    state = cell.state.name,
                    sequence = cell.sequence,
                    answers = cell.totals.mapValues { it.value.answers },
                    inAccounts = accounts.keys.filter { isFolded(incarnation, it) }.toSet(),
                )
            }
        }
        for ((account, sum) in sums) {
            recorder.record { HistoryEvent.BillsStored(it, account, sum.answers, sum.priceMicros) }
        }
    }

    companion object {
        /**
         * Reads the cells before the accounts, so that a cell that is folded between the two reads is counted in the
         * accounts. In the opposite order it would be counted in neither.
         */
        fun read(store: KeyValueStore): StoredBills {
            val cells = checkNotNull(store.list(BILL_CELL_PREFIX).getOrNull()).associate {
                checkNotNull(Incarnation.parse(it.key.removePrefix(BILL_CELL_PREFIX))) to BillCell.fromJson(it.value)
            }
            val accounts = checkNotNull(store.list(ACCOUNT_BILL_PREFIX).getOrNull()).associate {
                ClientAccountId(it.key.removePrefix(ACCOUNT_BILL_PREFIX)) to AccountBill.fromJson(it.value)
            }
            return StoredBills(cells, accounts)
        }
    }
}
