package io.quetzalfield.store.bills

import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.store.PlatformJson
import kotlinx.serialization.Serializable

/** The prefix of the keys under which each incarnation stores its bill cell. */
public const val BILL_CELL_PREFIX: String = "bills/cells/"

/** Sums billed to one client account. Prices are in millionths of the operators' currency. */
@Serializable
public data class BillTotals(val answers: Long = 0, val tokens: Long = 0, val priceMicros: Long = 0) {
    public operator fun plus(other: BillTotals): BillTotals = BillTotals(
        answers = answers + other.answers,
        tokens = tokens + other.tokens,
        priceMicros = priceMicros + other.priceMicros,
    )
}

/** The state of a bill cell, which determines who may still change it. */
@Serializable
public enum class CellState {
    /** The incarnation may still write the cell. */
    OPEN,

    /** The incarnation was declared dead; a steward collects its later bills from the witnesses. */
    SEALED,

    /** The collected bills are included; a steward folds the cell into the accounts. */
    COLLECTED,

    /** The accounts include all totals. The cell is kept for a while to recognise late records of its incarnation. */
    FOLDED,
}

/** The bills with sequence numbers from [first] to [last], inclusive. */
@Serializable
public data class SequenceRange(val first: Long, val last: Long) {
    public operator fun contains(sequence: Long): Boolean = sequence in first..last

    public companion object {
        /** The shortest list of ranges that contains exactly [sequences]. */
        public fun covering(sequences: Collection<Long>): List<SequenceRange> =
            sequences.sorted().fold(emptyList()) { ranges, sequence ->
                val last = ranges.lastOrNull()
                if (last != null && last.last + 1 == sequence) {
                    ranges.dropLast(1) + last.copy(last = sequence)
                } else {
                    ranges + SequenceRange(sequence, sequence)
                }
            }
    }
}

/**
 * The totals that one incarnation has billed up to [sequence]. Only that incarnation writes an open cell, and always
 * the whole cell, so that a repeated write changes nothing.
 *
 * @property sequence number of the last bill of the gapless sequence included in [totals].
 * @property collected the bills after [sequence] that a steward has added to [totals].
 * @property foldedAtEpochMilliseconds wall-clock time at which the cell was marked as folded; 0 until then.
 */
@Serializable
public data class BillCell(
    val sequence: Long = 0,
    val totals: Map<ClientAccountId, BillTotals> = emptyMap(),
    val state: CellState = CellState.OPEN,
    val collected: List<SequenceRange> = emptyList(),
    val foldedAtEpochMilliseconds: Long = 0,
) {
    /** Whether [totals] accounts for the bill [sequence], or leaves it out because another process billed its key. */
    public operator fun contains(sequence: Long): Boolean =
        sequence <= this.sequence || collected.any { sequence in it }

    /** Encodes this cell for the store. */
    public fun toJson(): String = PlatformJson.encodeToString(serializer(), this)

    public companion object {
        /** Decodes the output of [toJson]. */
        public fun fromJson(json: String): BillCell = PlatformJson.decodeFromString(serializer(), json)
    }
}

/** The key of the cell of [incarnation]. */
public fun billCellKey(incarnation: Incarnation): String = BILL_CELL_PREFIX + incarnation

private const val COUNTER_SEPARATOR = '.'

/** The process that bills under this incarnation: a process whose cell was sealed continues under another one. */
public val Incarnation.billingProcess: Incarnation
    get() = copy(start = start.substringBefore(COUNTER_SEPARATOR))

/** The incarnation number [count], from 1, under which this process bills. */
public fun Incarnation.billingIncarnation(count: Int): Incarnation =
    if (count == 1) this else copy(start = "$start$COUNTER_SEPARATOR$count")
