package io.quetzalfield.forwarding.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * How long a member's record is kept without an extension, and how often it is extended.
 *
 * Load pattern: each extension is a call to the store, so that with a fixed period their number grows with the fleet
 * while nothing changes. Callers skip an address that fails, and the instances' own messages show which ones have
 * fallen silent, so that in a large fleet an instance that has ended may stay listed for longer.
 *
 * @property timeToLive time for which the store keeps the record after an extension.
 * @property period time between two extensions.
 */
internal data class MembershipTerms(val timeToLive: Duration, val period: Duration) {
    companion object {
        /** The terms in a fleet of [members] instances. */
        fun of(members: Int): MembershipTerms {
            val period = (ShortestPeriod * (members.toDouble() / EXTENSIONS_PER_PERIOD))
                .coerceIn(ShortestPeriod, LongestPeriod)
            return MembershipTerms(period * EXTENSIONS_PER_LIFE, period)
        }

        /** The period in a small fleet. */
        val ShortestPeriod: Duration = 1.seconds

        /** Limits the time for which an instance that has ended stays listed. */
        private val LongestPeriod: Duration = 8.seconds

        /** Extensions of all members together in [ShortestPeriod]. */
        private const val EXTENSIONS_PER_PERIOD = 8

        /** The record outlives two extensions that failed. */
        const val EXTENSIONS_PER_LIFE = 3
    }
}
