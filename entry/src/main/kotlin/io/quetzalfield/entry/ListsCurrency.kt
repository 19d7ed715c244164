package io.quetzalfield.entry

import java.util.concurrent.atomic.AtomicReference
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Tracks whether the lists of this entry can be assumed to be in force: it has had contact with the store or a peer
 * within [bound]. An entry without contact may have missed a change and must not decide requests.
 *
 * During an outage of the store, entries stay in contact with each other and continue to serve.
 */
public class ListsCurrency(
    private val bound: Duration,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private val lastContact = AtomicReference(timeSource.markNow())

    /** Time since the last contact, including time for which the process was paused. */
    public val age: Duration get() = lastContact.get().elapsedNow()

    /** Records that the store or a peer has answered a request sent at [requestedAt]. */
    public fun noteContact(requestedAt: ComparableTimeMark) {
        lastContact.accumulateAndGet(requestedAt) { previous, latest -> if (latest > previous) latest else previous }
    }

    /**
     * Returns whether requests may be decided. An entry that knows no peers ([hasPeers] is `false`) is always current,
     * because no other entry can have different lists.
     */
    public fun isCurrent(hasPeers: Boolean): Boolean = !hasPeers || age <= bound
}
