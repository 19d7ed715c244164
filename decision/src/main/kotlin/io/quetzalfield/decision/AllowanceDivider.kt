package io.quetzalfield.decision

import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.Incarnation
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Rules for dividing allowances among entries. Each entry may always use its part of [floorShare] without a grant; the
 * remainder is divided by recent demand.
 *
 * @property largestEntryCount maximum number of entries; [floorShare] is split into this many parts.
 * @property floorShare fraction of each allowance that is split evenly without grants, from 0 to 1.
 * @property validity time for which an entry may use a granted share, counted from its request.
 * @property clockMargin time that the divider adds to [validity] to allow for clocks that run at different speeds.
 */
public data class AllowanceRules(
    val largestEntryCount: Int = 8,
    val floorShare: Double = 0.4,
    val validity: Duration = 15.seconds,
    val clockMargin: Duration = 1.seconds,
) {
    /** The fraction of an allowance that each entry may use without a grant. */
    public val floor: Double get() = floorShare / largestEntryCount
}

/**
 * The shares that one entry may use in addition to its floor.
 *
 * @property generation increases with each division; an entry never applies a lower one of the same divider.
 * @property fractions fractions of the allowances, from 0 to 1.
 */
public data class AllowanceDivision(val generation: Long, val fractions: Map<ClientAccountId, Double>)

/**
 * The recent demand that an entry reports.
 *
 * @property demands tokens per minute by client account.
 * @property confirmedGeneration generation of the latest division that the entry has applied.
 */
public data class EntryDemand(
    val entry: Incarnation,
    val demands: Map<ClientAccountId, Double>,
    val confirmedGeneration: Long,
)

/**
 * Divides allowances among entries by their demand. All entries together never get more than the allowance, even when
 * processes fail or messages are lost: a granted fraction counts as used until it expires or its entry confirms a later
 * division. A new divider does not know the grants of its predecessor, so it grants nothing until those have expired.
 *
 * Not thread-safe.
 */
public class AllowanceDivider(
    private val rules: AllowanceRules = AllowanceRules(),
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private class Grant(val division: AllowanceDivision, val expiresAt: ComparableTimeMark)

    private class KnownEntry(var demands: Map<ClientAccountId, Double>, var grants: List<Grant> = emptyList())

    private val grantLifetime = rules.validity + rules.clockMargin
    private val firstGrantAt = timeSource.markNow() + grantLifetime
    private val entries = mutableMapOf<Incarnation, KnownEntry>()
    private var lastGeneration = 0L

    /** Computes the division for the entry that reports [demand]. */
    public fun divide(demand: EntryDemand): AllowanceDivision {
        removeExpiredGrants()
        val entry = entries.getOrPut(demand.entry) { KnownEntry(demand.demands) }
        entry.demands = demand.demands
        entry.grants = entry.grants.filter { it.division.generation >= demand.confirmedGeneration }
        val fractions = if (firstGrantAt.hasPassedNow()) fractionsFor(demand) else emptyMap()
        val division = AllowanceDivision(++lastGeneration, fractions)
        entry.grants += Grant(division, timeSource.markNow() + grantLifetime)
        return division
    }

    private fun removeExpiredGrants() {
        entries.values.forEach { entry -> entry.grants = entry.grants.filter { it.expiresAt.hasNotPassedNow() } }
        entries.values.removeIf { it.grants.isEmpty() }
    }

    private fun fractionsFor(demand: EntryDemand): Map<ClientAccountId, Double> = demand.demands
        .filterValues { it > 0 }
        .mapValues { (account, entryDemand) -> fractionFor(demand.entry, account, entryDemand) }

    private fun fractionFor(entry: Incarnation, account: ClientAccountId, entryDemand: Double): Double {
        val others = entries.filterKeys { it != entry }.values
        val total = entryDemand + others.sumOf { it.demands[account] ?: 0.0 }
        val dividedShare = 1 - rules.floorShare
        val proportionalShare = dividedShare * entryDemand / total
        val grantedToOthers = others.sumOf { other ->
            other.grants.maxOfOrNull { it.division.fractions[account] ?: 0.0 } ?: 0.0
        }
        return minOf(proportionalShare, dividedShare - grantedToOthers).coerceAtLeast(0.0)
    }
}
