package io.quetzalfield.store

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Acquires and keeps several duties, each under its own lease, and spreads them over the stewards: the higher the
 * [rank] of this steward for a duty, the longer it waits before it tries to acquire a duty that it does not hold.
 *
 * @param rank number of stewards that are preferred for the duty; 0 for the preferred holder itself.
 * @param takeoverDelay time that each preferred steward is given to acquire the duty first.
 */
public class DutyRoster(
    private val leases: Map<String, DutyLease>,
    private val rank: (String) -> Int,
    private val takeoverDelay: Duration,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private val notHeldSince = mutableMapOf<String, ComparableTimeMark>()
    private val lastAttempts = mutableMapOf<String, ComparableTimeMark>()

    /** The duty [name] if it is certainly held now, otherwise `null`. */
    public fun held(name: String): HeldDuty? = leases.getValue(name).held

    /** Extends the leases of held duties and tries to acquire others; call it several times within the time to live. */
    @Synchronized
    public fun renew() {
        for ((name, lease) in leases) {
            if (mayRenew(name, lease)) lease.renew()
            if (lease.held == null) notHeldSince.getOrPut(name, timeSource::markNow) else notHeldSince.remove(name)
        }
    }

    /** Releases all duties immediately. */
    public fun release() {
        leases.values.forEach(DutyLease::release)
    }

    private fun mayRenew(name: String, lease: DutyLease): Boolean {
        if (lease.hasLease) return true
        val since = notHeldSince.getOrPut(name, timeSource::markNow)
        val ownRank = rank(name)
        if (since.elapsedNow() < takeoverDelay * ownRank) return false
        val isDue = lastAttempts[name]?.let { it.elapsedNow() >= ATTEMPT_INTERVAL * ownRank } ?: true
        if (isDue) lastAttempts[name] = timeSource.markNow()
        return isDue
    }

    private companion object {
        /**
         * Time between two attempts to acquire a duty, per preferred steward. All stewards of a large fleet together
         * then ask for a duty only a few times per second.
         */
        val ATTEMPT_INTERVAL: Duration = 1.seconds
    }
}
