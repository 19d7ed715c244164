package io.quetzalfield.forwarding.choice

import io.quetzalfield.model.ClientAccountId
import kotlin.math.exp
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/**
 * Finds the client accounts that send many times what they usually send. Used on the event loop only.
 *
 * Load pattern: one account sends several times its usual while the endpoints are fully busy, so that the requests of
 * all others wait behind it. Its requests are then less urgent than those of the others and get what they leave. An
 * account that is always large is not affected, nor is a burst in which all accounts take part. What an account has
 * sent for about a minute is its usual. One that has just been seen for the first time has none: its callers may come
 * from another instance.
 */
public class AccountDemand(private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic) {
    private class Rate(private val span: Duration, private val startedAt: ComparableTimeMark) {
        private var updatedAt = startedAt

        /** Requests, each of which counts less with its age. */
        var count = 0.0
            private set

        fun decayTo(now: ComparableTimeMark) {
            count *= exp(-((now - updatedAt) / span))
            updatedAt = now
        }

        fun add(weight: Double) {
            count += weight
        }

        /** Time that [count] covers, from the first request of the account. */
        fun covered(now: ComparableTimeMark): Duration = span * (1 - exp(-((now - startedAt) / span)))
    }

    private class Demand(private val startedAt: ComparableTimeMark) {
        private val recent = Rate(RecentSpan, startedAt)
        private val usual = Rate(UsualSpan, startedAt)

        /** The recent part of [usual]. */
        private val recentUsual = Rate(RecentSpan, startedAt)

        /** Counts a request and returns whether there are many times more of them than usual. */
        fun record(now: ComparableTimeMark): Boolean {
            listOf(recent, usual, recentUsual).forEach { it.decayTo(now) }
            recent.add(1.0)
            val before = maxOf(usual.covered(now) - recent.covered(now), ShortestSpan)
            val expected = (usual.count - recentUsual.count).coerceAtLeast(0.0) * (recent.covered(now) / before)
            val isAboveUsual = now - startedAt >= LearningTime && recent.count >= FEWEST_REQUESTS &&
                recent.count > EXCESS * expected
            // What is above the usual becomes usual only slowly.
            val weight = if (isAboveUsual) EXCESS_WEIGHT else 1.0
            usual.add(weight)
            recentUsual.add(weight)
            return isAboveUsual
        }
    }

    private val demands = LinkedHashMap<ClientAccountId, Demand>()

    /** Counts a request of [account] and returns whether the account sends many times its usual. */
    public fun record(account: ClientAccountId): Boolean {
        val now = timeSource.markNow()
        val demand = demands[account] ?: return begin(account, now)
        return demand.record(now)
    }

    /** The first request only marks the beginning: counted in the time after it, it would make the usual too large. */
    private fun begin(account: ClientAccountId, now: ComparableTimeMark): Boolean {
        demands[account] = Demand(now)
        if (demands.size > MAXIMUM_ACCOUNTS) demands.remove(demands.keys.first())
        return false
    }

    private companion object {
        val RecentSpan = 3.seconds
        val UsualSpan = 30.seconds
        val ShortestSpan = 1.seconds

        /** Time from the first request of an account in which its usual becomes known. */
        val LearningTime = RecentSpan * 2

        /** Fewer than these in [RecentSpan] come together by chance. */
        const val FEWEST_REQUESTS = 4.0

        /** More than bursts in which all accounts take part. */
        const val EXCESS = 3.0

        /** Above 1 / [EXCESS], as what is above the usual would never become usual otherwise. */
        const val EXCESS_WEIGHT = 0.4

        /** Many times the accounts of a deployment; bounds the memory where they come and go. */
        const val MAXIMUM_ACCOUNTS = 10_000
    }
}
