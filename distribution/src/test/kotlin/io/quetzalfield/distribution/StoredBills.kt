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

/** What the store holds of bills: the [cells] of incarnations and the [accounts] into which ended ones are folded. */
internal class StoredBills(
    private val cells: Map<Incarnation, BillCell>,
    private val accounts: Map<ClientAccountId, AccountBill>,
) {
    /** What each account is billed: the folded sums, and the cells that are not in them. */
    val sums: Map<ClientAccountId, BillTotals>
        get() {
            val sums = accounts.mapValues { it.value.totals }.toMutableMap()
            for ((incarnation, cell) in cells.filterValues { it.state != CellState.FOLDED }) {
                val missing = cell.totals.filterKeys { account -> !isFolded(incarnation, account) }
                missing.forEach { (account, totals) -> sums.merge(account, totals, BillTotals::plus) }
            }
            return sums
        }

    /** The answers of all accounts. */
    val answers: Long get() = sums.values.sumOf(BillTotals::answers)

    private fun isFolded(incarnation: Incarnation, account: ClientAccountId): Boolean =
        incarnation in accounts[account]?.folded.orEmpty()

    /** Records the sums of all accounts, and the cells that they come from. */
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
         * Reads the cells before the accounts. A cell that is folded between the two reads is then in the accounts; the
         * other way round it would be in neither.
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
