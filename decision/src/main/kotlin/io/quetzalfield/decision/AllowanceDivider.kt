package io.quetzalfield.decision

import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.Incarnation
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * How allowances are divided. Each entry has its part of [floorShare] at all times, without being told; the rest goes
 * by recent demand.
 *
 * @property largestEntryCount number of entries among which [floorShare] is split; there may not be more.
 * @property validity time for which an entry may use a granted share, from when it asked for it.
 * @property clockMargin time by which the divider waits longer than [validity], for clocks of unlike speed.
 */
public data class AllowanceRules(
    val largestEntryCount: Int = 8,
    val floorShare: Double = 0.4,
    val validity: Duration = 15.seconds,
    val clockMargin: Duration = 1.seconds,
) {
    /** The fraction of an allowance that each entry may use whatever it hears. */
    public val floor: Double get() = floorShare / largestEntryCount
}

/**
 * The shares that one entry may use beside its floor.
 *
 * @property generation grows with each division; an entry never goes back to a lower one of the same divider.
 * @property fractions parts of the allowances, from 0 to 1.
 */
public data class AllowanceDivision(val generation: Long, val fractions: Map<ClientAccountId, Double>)

/** The recent demand that an entry reports, in tokens a minute by client account. */
public data class EntryDemand(
    val entry: Incarnation,
    val demands: Map<ClientAccountId, Double>,
    val confirmedGeneration: Long,
)

/**
 * Divides allowances among entries by their demand, so that what all entries may use together is never more than the
 * allowance, whatever dies or gets lost: a fraction that was granted counts as used until it has lapsed or its entry
 * has confirmed a later division. Since nothing is known of what a former divider granted, nothing is granted until
 * that has lapsed.
 *
 * Safe for one thread at a time.
 */
public class AllowanceDivider(
    private val rules: AllowanceRules = AllowanceRules(),
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private class Grant(val division: AllowanceDivision, val lapses: ComparableTimeMark)

    private class KnownEntry(var demands: Map<ClientAccountId, Double>, var grants: List<Grant> = emptyList())

    private val holdingTime = rules.validity + rules.clockMargin
    private val grantsFrom = timeSource.markNow() + holdingTime
    private val entries = mutableMapOf<Incarnation, KnownEntry>()
    private var lastGeneration = 0L

    /** The division for the entry that reports [demand]. */
    public fun divide(demand: EntryDemand): AllowanceDivision {
        dropLapsed()
        val entry = entries.getOrPut(demand.entry) { KnownEntry(demand.demands) }
        entry.demands = demand.demands
        entry.grants = entry.grants.filter { it.division.generation >= demand.confirmedGeneration }
        val fractions = if (grantsFrom.hasPassedNow()) fractionsFor(demand) else emptyMap()
        val division = AllowanceDivision(++lastGeneration, fractions)
        entry.grants += Grant(division, timeSource.markNow() + holdingTime)
        return division
    }

    private fun dropLapsed() {
        entries.values.forEach { entry -> entry.grants = entry.grants.filter { it.lapses.hasNotPassedNow() } }
        entries.values.removeIf { it.grants.isEmpty() }
    }

    private fun fractionsFor(demand: EntryDemand): Map<ClientAccountId, Double> =
        demand.demands.filterValues { it > 0 }.mapValues { (account, own) -> fractionFor(demand.entry, account, own) }

    private fun fractionFor(entry: Incarnation, account: ClientAccountId, own: Double): Double {
        val others = entries.filterKeys { it != entry }.values
        val total = own + others.sumOf { it.demands[account] ?: 0.0 }
        val pool = 1 - rules.floorShare
        val wanted = pool * own / total
        val granted = others.sumOf { other ->
            other.grants.maxOfOrNull { it.division.fractions[account] ?: 0.0 } ?: 0.0
        }
        return minOf(wanted, pool - granted).coerceAtLeast(0.0)
    }
}
