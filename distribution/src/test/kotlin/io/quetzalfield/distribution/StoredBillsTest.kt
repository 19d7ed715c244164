package io.quetzalfield.distribution

import arrow.core.Either
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.store.KeyValueError
import io.quetzalfield.store.KeyValueStore
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.StoredValue
import io.quetzalfield.store.bills.AccountBill
import io.quetzalfield.store.bills.BillCell
import io.quetzalfield.store.bills.BillTotals
import io.quetzalfield.store.bills.CellState
import io.quetzalfield.store.bills.accountBillKey
import io.quetzalfield.store.bills.billCellKey
import io.quetzalfield.store.fakes.InMemoryKeyValueStore
import kotlin.test.Test
import kotlin.test.assertEquals

private val ENDED = Incarnation(InstanceId("entry-1"), "1")
private val WORKSHOP = ClientAccountId("workshop")
private val TOTALS = BillTotals(answers = 6, tokens = 60, priceMicros = 600)

/** Store that folds the cell of [ENDED] between the two list calls of a reader. */
private class FoldingStore(private val delegate: InMemoryKeyValueStore = InMemoryKeyValueStore()) :
    KeyValueStore by delegate {
    private var listCalls = 0

    init {
        write(billCellKey(ENDED), BillCell(6, mapOf(WORKSHOP to TOTALS)).toJson())
    }

    override fun list(prefix: String): Either<KeyValueError, List<StoredValue>> {
        if (listCalls++ == 1) fold()
        return delegate.list(prefix)
    }

    private fun fold() {
        write(accountBillKey(WORKSHOP), AccountBill().fold(ENDED, TOTALS).toJson())
        write(billCellKey(ENDED), BillCell(6, mapOf(WORKSHOP to TOTALS), CellState.FOLDED).toJson())
    }

    private fun write(key: String, value: String) {
        val revision = delegate.read(key).getOrNull()?.modified ?: StoreRevision.Absent
        delegate.compareAndSwap(key, revision, value)
    }
}

class StoredBillsTest {
    @Test
    fun `bills that are folded while they are read are counted once`() {
        assertEquals(mapOf(WORKSHOP to TOTALS), StoredBills.read(FoldingStore()).sums)
    }
}
