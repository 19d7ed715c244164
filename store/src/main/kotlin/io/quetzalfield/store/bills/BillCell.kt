package io.quetzalfield.store.bills

import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.store.PlatformJson
import kotlinx.serialization.Serializable

/** The prefix of the keys under which each incarnation keeps its bill cell. */
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

/** Who may still change a bill cell. */
@Serializable
public enum class CellState {
    /** Its incarnation writes it. */
    OPEN,

    /** Its incarnation was declared dead; a steward collects its later bills from the witnesses. */
    SEALED,

    /** It contains the collected bills too; a steward folds it into the accounts. */
    COLLECTED,

    /** All of it is in the accounts. It stays for a while, so that late records of its incarnation are recognised. */
    FOLDED,
}

/** The bills with the numbers from [first] to [last]. */
@Serializable
public data class SequenceRange(val first: Long, val last: Long) {
    public operator fun contains(sequence: Long): Boolean = sequence in first..last

    public companion object {
        /** The fewest ranges that contain exactly [sequences]. */
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
 * All that one incarnation has billed up to [sequence]. Only that incarnation writes an open cell, always as a whole,
 * so that writing it again changes nothing.
 *
 * @property sequence number of the last bill of the unbroken row that [totals] contains.
 * @property collected the bills after [sequence] that a steward has added to [totals].
 * @property foldedAtEpochMilliseconds wall-clock time at which the cell was found to be folded; 0 before.
 */
@Serializable
public data class BillCell(
    val sequence: Long = 0,
    val totals: Map<ClientAccountId, BillTotals> = emptyMap(),
    val state: CellState = CellState.OPEN,
    val collected: List<SequenceRange> = emptyList(),
    val foldedAtEpochMilliseconds: Long = 0,
) {
    /** Whether [totals] decides of the bill [sequence]. */
    public operator fun contains(sequence: Long): Boolean =
        sequence <= this.sequence || collected.any { sequence in it }

    /** The stored form. */
    public fun toJson(): String = PlatformJson.encodeToString(serializer(), this)

    public companion object {
        /** Reads what [toJson] writes. */
        public fun fromJson(json: String): BillCell = PlatformJson.decodeFromString(serializer(), json)
    }
}

/** The key of the cell of [incarnation]. */
public fun billCellKey(incarnation: Incarnation): String = BILL_CELL_PREFIX + incarnation

private const val COUNTER_SEPARATOR = '.'

/** The process that bills under this incarnation: a process whose cell was sealed goes on under another one. */
public val Incarnation.billingProcess: Incarnation
    get() = copy(start = start.substringBefore(COUNTER_SEPARATOR))

/** The incarnation under which this process bills for the time with number [count]. */
public fun Incarnation.billingIncarnation(count: Int): Incarnation =
    if (count == 1) this else copy(start = "$start$COUNTER_SEPARATOR$count")
