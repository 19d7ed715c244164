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

/** The shares of the accounts' allowances that this entry may use. */
public interface AllowanceShares {
    /**
     * Returns the tokens per minute that this entry may generate for [account] now. The sum over all entries stays
     * within the account's allowance.
     */
    public fun tokensPerMinute(account: ClientAccount): Double

    /** Records a request of [account] for [tokens], admitted or not. Shares are divided by this demand. */
    public fun noteDemand(account: ClientAccountId, tokens: Long)
}

/**
 * The shares that a steward grants, added to the floor that every entry has. Granted shares expire: an entry without
 * contact to a steward falls back to the floor.
 *
 * @param entryCount number of entries known to this one; if it exceeds the number in the rules, the floor is smaller.
 */
public class GrantedAllowanceShares(
    private val rules: AllowanceRules = AllowanceRules(),
    private val entryCount: () -> Int = { 1 },
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) : AllowanceShares {
    private class Grant(val fencingNumber: Long, val division: AllowanceDivision, val validUntil: ComparableTimeMark) {
        fun isLaterThan(other: Grant): Boolean = when (fencingNumber) {
            other.fencingNumber -> division.generation > other.division.generation
            else -> fencingNumber > other.fencingNumber
        }
    }

    private val requestedTokens = ConcurrentHashMap<ClientAccountId, DoubleAdder>()
    private val lock = Any()
    private var rates = emptyMap<ClientAccountId, Double>()
    private var lastCollectedAt = timeSource.markNow()

    @Volatile
    private var grant: Grant? = null

    override fun tokensPerMinute(account: ClientAccount): Double {
        val current = grant?.takeIf { it.validUntil.hasNotPassedNow() }
        val floor = rules.floorShare / maxOf(rules.largestEntryCount, entryCount())
        val fraction = floor + (current?.division?.fractions?.get(account.id) ?: 0.0)
        return account.tokensPerMinute * fraction
    }

    override fun noteDemand(account: ClientAccountId, tokens: Long) {
        requestedTokens.computeIfAbsent(account) { DoubleAdder() }.add(tokens.toDouble())
    }

    /** Returns the newest generation in use here of the divider with [fencingNumber]; 0 if there is none. */
    public fun confirmedGeneration(fencingNumber: Long): Long =
        grant?.takeIf { it.fencingNumber == fencingNumber }?.division?.generation ?: 0

    /** The fencing number of the divider whose shares were adopted last; 0 if there is none. */
    public val fencingNumber: Long get() = grant?.fencingNumber ?: 0

    /** Adopts [division], which was requested at [requestedAt], unless a later one is in use. */
    public fun adopt(fencingNumber: Long, division: AllowanceDivision, requestedAt: ComparableTimeMark) {
        val offered = Grant(fencingNumber, division, requestedAt + rules.validity)
        synchronized(lock) {
            val current = grant
            if (current == null || offered.isLaterThan(current)) grant = offered
        }
    }

    /** Updates the smoothed demand with the demand noted since the last call, and returns it in tokens per minute. */
    public fun collectDemand(): Map<ClientAccountId, Double> = synchronized(lock) {
        val minutes = lastCollectedAt.elapsedNow().toDouble(DurationUnit.MINUTES).coerceAtLeast(SHORTEST_MINUTES)
        lastCollectedAt = timeSource.markNow()
        val weight = (minutes / SMOOTHING.toDouble(DurationUnit.MINUTES)).coerceAtMost(1.0)
        rates = (rates.keys + requestedTokens.keys).associateWith { account ->
            val recent = (requestedTokens[account]?.sumThenReset() ?: 0.0) / minutes
            val previous = rates[account] ?: recent
            previous + weight * (recent - previous)
        }.filterValues { it > SMALLEST_RATE }
        rates
    }

    private companion object {
        val SMOOTHING = 1.minutes / 2
        const val SHORTEST_MINUTES = 1e-6
        const val SMALLEST_RATE = 1e-3
    }
}
