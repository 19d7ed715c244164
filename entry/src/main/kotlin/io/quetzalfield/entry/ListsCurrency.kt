package io.quetzalfield.entry

import java.util.concurrent.atomic.AtomicReference
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Tells whether this entry can know that its lists are in force: it has heard from the store, or from a peer, within
 * [bound]. An entry that hears from neither may have missed a change and must not decide requests.
 *
 * When the store is down for all, the entries hear from one another and serve on.
 */
public class ListsCurrency(
    private val bound: Duration,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private val lastContact = AtomicReference(timeSource.markNow())

    /** Time since the last contact; goes on while the process is paused. */
    public val age: Duration get() = lastContact.get().elapsedNow()

    /** Notes that the store or a peer answered a question asked at [askedAt]. */
    public fun noteContact(askedAt: ComparableTimeMark) {
        lastContact.accumulateAndGet(askedAt) { former, latest -> if (latest > former) latest else former }
    }

    /**
     * Whether requests may be decided. An entry that knows of no other entry ([hasPeers] is `false`) has nobody to
     * differ from.
     */
    public fun isCurrent(hasPeers: Boolean): Boolean = !hasPeers || age <= bound
}
