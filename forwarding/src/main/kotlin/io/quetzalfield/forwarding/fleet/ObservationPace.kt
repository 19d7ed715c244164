package io.quetzalfield.forwarding.fleet

import io.quetzalfield.model.VersionId
import io.quetzalfield.store.StoreRevision
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Decides when an instance stores what it has observed of the versions of a roll-out. What it saw of the new version is
 * stored at each opportunity, and so is that it has applied a step. What it saw of the version before, with which that
 * is compared, may be older the larger the fleet is, as each instance then sees a smaller part of it. Used by one
 * thread.
 *
 * Load pattern: during a roll-out nearly all answers come from the version before, and change the record of every
 * instance every second.
 */
internal class ObservationPace(private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic) {
    private class Stored(val seen: ObservationRecord, val at: ComparableTimeMark)

    private val stored = HashMap<StoreRevision, Stored>()

    /** Whether [seen] is to be stored now for [order] in a fleet of [members] instances. */
    fun isDue(order: RolloutOrder, seen: ObservationRecord, members: Int): Boolean {
        val last = stored[order.revision] ?: return true
        val isNews = seen.of(order.target) != last.seen.of(order.target) || seen.appliedStep != last.seen.appliedStep
        return isNews || last.at.elapsedNow() >= period(members)
    }

    /** Records that [seen] has been stored for [order]. */
    fun recordStored(order: RolloutOrder, seen: ObservationRecord) {
        stored[order.revision] = Stored(seen, timeSource.markNow())
    }

    /** Drops what is known of all orders but [orders]. */
    fun retain(orders: List<RolloutOrder>) {
        stored.keys.retainAll(orders.mapTo(HashSet(), RolloutOrder::revision))
    }

    private fun ObservationRecord.of(version: VersionId) = answers[version]

    private fun period(members: Int): Duration =
        if (members <= LARGEST_SMALL_FLEET) Duration.ZERO else (PeriodOfEach * members).coerceAtMost(LongestPeriod)

    private companion object {
        /** Number of instances up to which everything is stored at each opportunity. */
        const val LARGEST_SMALL_FLEET = 8

        /** All instances together store the comparison 16 times a second. */
        val PeriodOfEach: Duration = 1.seconds / 16

        /** A fraction of the shortest time of a roll-out. */
        val LongestPeriod: Duration = 5.seconds
    }
}
