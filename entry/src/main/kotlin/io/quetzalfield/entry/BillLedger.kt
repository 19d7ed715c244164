package io.quetzalfield.entry

import arrow.core.Either
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.RequestKey
import io.quetzalfield.platform.KeyValueStore
import io.quetzalfield.platform.PlatformJson
import io.quetzalfield.platform.StoreRevision
import io.quetzalfield.platform.SwapResult
import kotlinx.serialization.Serializable

/** The key prefix under which each incarnation keeps its bill cell. */
public const val BILL_CELL_PREFIX: String = "bills/cells/"

/** Sums billed to one client account. Prices are in millionths of the operators' currency. */
@Serializable
public data class BillTotals(val answers: Long = 0, val tokens: Long = 0, val priceMicros: Long = 0)

/**
 * All that one incarnation has billed up to [sequence]. Only that incarnation writes it, always as a whole, so that
 * writing it again changes nothing.
 */
@Serializable
public data class BillCell(val sequence: Long = 0, val totals: Map<ClientAccountId, BillTotals> = emptyMap())

/** A bill for one answer. */
public data class Bill(val account: ClientAccountId, val key: RequestKey, val tokens: Long, val priceMicros: Long)

/** Bills each request key of an account once and keeps the sums in the incarnation's cell of the store. */
public class BillLedger(incarnation: Incarnation, private val store: KeyValueStore) {
    private val cellKey = BILL_CELL_PREFIX + incarnation
    private val lock = Any()
    private val billedKeys = mutableSetOf<Pair<ClientAccountId, RequestKey>>()
    private var cell = BillCell()
    private var storedSequence = 0L
    private var storedRevision = StoreRevision.Absent

    /** Records [bill] unless its key was billed before; `true` when it was recorded. */
    public fun record(bill: Bill): Boolean = synchronized(lock) {
        if (!billedKeys.add(bill.account to bill.key)) return@synchronized false
        val former = cell.totals[bill.account] ?: BillTotals()
        val sum = BillTotals(
            answers = former.answers + 1,
            tokens = former.tokens + bill.tokens,
            priceMicros = former.priceMicros + bill.priceMicros,
        )
        cell = BillCell(cell.sequence + 1, cell.totals + (bill.account to sum))
        true
    }

    /** The sums of [account] that this incarnation has billed. */
    public fun totals(account: ClientAccountId): BillTotals =
        synchronized(lock) { cell.totals[account] ?: BillTotals() }

    /** Writes the cell if it has changed since it was last stored. */
    public fun flush() {
        val written = synchronized(lock) { cell }
        if (written.sequence == storedSequence) return
        val json = PlatformJson.encodeToString(BillCell.serializer(), written)
        val result = store.compareAndSwap(cellKey, storedRevision, json)
        if (result !is Either.Right) return
        when (val swap = result.value) {
            is SwapResult.Swapped -> {
                storedRevision = swap.stored
                storedSequence = written.sequence
            }

            is SwapResult.Conflict -> storedRevision = swap.current?.modified ?: StoreRevision.Absent
        }
    }
}
