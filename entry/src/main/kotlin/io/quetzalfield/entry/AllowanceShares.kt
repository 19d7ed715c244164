package io.quetzalfield.entry

import io.quetzalfield.decision.AllowanceDivision
import io.quetzalfield.decision.AllowanceRules
import io.quetzalfield.model.ClientAccount
import io.quetzalfield.model.ClientAccountId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.DoubleAdder
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.minutes
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** How much of the accounts' allowances this entry may use. */
public interface AllowanceShares {
    /** Tokens a minute that this entry may generate for [account] now; all entries together stay in the allowance. */
    public fun tokensPerMinute(account: ClientAccount): Double

    /** Notes that [tokens] were asked for in the name of [account], admitted or not; shares follow this demand. */
    public fun noteDemand(account: ClientAccountId, tokens: Long)
}

/**
 * The shares that a steward grants, as long as they are valid, beside the floor that every entry has. An entry that
 * hears nothing goes back to the floor.
 *
 * @param entryCount number of entries that this one knows of; more than the rules foresee make the floor smaller.
 */
public class GrantedAllowanceShares(
    private val rules: AllowanceRules = AllowanceRules(),
    private val entryCount: () -> Int = { 1 },
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) : AllowanceShares {
    private class Granted(
        val fencingNumber: Long,
        val division: AllowanceDivision,
        val validUntil: ComparableTimeMark,
    ) {
        fun isLaterThan(other: Granted): Boolean = when (fencingNumber) {
            other.fencingNumber -> division.generation > other.division.generation
            else -> fencingNumber > other.fencingNumber
        }
    }

    private val demanded = ConcurrentHashMap<ClientAccountId, DoubleAdder>()
    private val lock = Any()
    private var rates = emptyMap<ClientAccountId, Double>()
    private var ratesSince = timeSource.markNow()

    @Volatile
    private var granted: Granted? = null

    override fun tokensPerMinute(account: ClientAccount): Double {
        val current = granted?.takeIf { it.validUntil.hasNotPassedNow() }
        val floor = rules.floorShare / maxOf(rules.largestEntryCount, entryCount())
        val fraction = floor + (current?.division?.fractions?.get(account.id) ?: 0.0)
        return account.tokensPerMinute * fraction
    }

    override fun noteDemand(account: ClientAccountId, tokens: Long) {
        demanded.computeIfAbsent(account) { DoubleAdder() }.add(tokens.toDouble())
    }

    /** The newest generation of the divider with [fencingNumber] that is in use here; 0 for none. */
    public fun confirmedGeneration(fencingNumber: Long): Long =
        granted?.takeIf { it.fencingNumber == fencingNumber }?.division?.generation ?: 0

    /** The fencing number of the divider that was heard last; 0 for none. */
    public val fencingNumber: Long get() = granted?.fencingNumber ?: 0

    /** Uses [division], which was asked for at [askedAt], unless a later one is in use. */
    public fun adopt(fencingNumber: Long, division: AllowanceDivision, askedAt: ComparableTimeMark) {
        val offered = Granted(fencingNumber, division, askedAt + rules.validity)
        synchronized(lock) {
            val current = granted
            if (current == null || offered.isLaterThan(current)) granted = offered
        }
    }

    /** Smoothed demand in tokens a minute, from what was noted since the last call. */
    public fun takeDemand(): Map<ClientAccountId, Double> = synchronized(lock) {
        val minutes = ratesSince.elapsedNow().toDouble(DurationUnit.MINUTES).coerceAtLeast(SHORTEST_MINUTES)
        ratesSince = timeSource.markNow()
        val weight = (minutes / SMOOTHING.toDouble(DurationUnit.MINUTES)).coerceAtMost(1.0)
        rates = (rates.keys + demanded.keys).associateWith { account ->
            val recent = (demanded[account]?.sumThenReset() ?: 0.0) / minutes
            val former = rates[account] ?: recent
            former + weight * (recent - former)
        }.filterValues { it > SMALLEST_RATE }
        rates
    }

    private companion object {
        val SMOOTHING = 1.minutes / 2
        const val SHORTEST_MINUTES = 1e-6
        const val SMALLEST_RATE = 1e-3
    }
}
