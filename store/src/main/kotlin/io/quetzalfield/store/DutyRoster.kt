package io.quetzalfield.store

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Holds several duties, each under its own lease, so that they spread over the stewards: the [rank] of this steward for
 * a duty says how long it leaves a duty that it does not hold to the stewards before it.
 *
 * @param rank 0 for the steward that should hold the duty.
 * @param patience time that each steward before this one is given.
 */
public class DutyRoster(
    private val leases: Map<String, DutyLease>,
    private val rank: (String) -> Int,
    private val patience: Duration,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private val notHeldSince = mutableMapOf<String, ComparableTimeMark>()
    private val lastTries = mutableMapOf<String, ComparableTimeMark>()

    /** The duty [name] if it is held for certain now. */
    public fun held(name: String): HeldDuty? = leases.getValue(name).held

    /** Extends or takes the duties; call it several times within the leases' time to live. */
    @Synchronized
    public fun renew() {
        for ((name, lease) in leases) {
            if (mayTake(name, lease)) lease.renew()
            if (lease.held == null) notHeldSince.getOrPut(name, timeSource::markNow) else notHeldSince.remove(name)
        }
    }

    /** Gives all duties up at once. */
    public fun release() {
        leases.values.forEach(DutyLease::release)
    }

    private fun mayTake(name: String, lease: DutyLease): Boolean {
        if (lease.isTrying) return true
        val since = notHeldSince.getOrPut(name, timeSource::markNow)
        val ownRank = rank(name)
        if (since.elapsedNow() < patience * ownRank) return false
        val isDue = lastTries[name]?.let { it.elapsedNow() >= TRY_SPACING * ownRank } ?: true
        if (isDue) lastTries[name] = timeSource.markNow()
        return isDue
    }

    private companion object {
        /**
         * Time between two tries, for each steward that should rather hold the duty. All stewards of a large fleet
         * together then ask for a duty a few times a second.
         */
        val TRY_SPACING: Duration = 1.seconds
    }
}
