package io.quetzalfield.store

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** The moment at which a call was sent, by the monotonic clock and by the time of day. */
public data class CallTime(val mark: ComparableTimeMark, val instant: Instant)

/** Receives what a part of the store holds. All calls come from one thread. */
public interface StoreFollower {
    /** The part holds exactly [values] now; what was reported before is replaced. */
    public fun onState(values: List<StoredValue>)

    /** One key has changed. */
    public fun onChange(change: StoreChange)

    /** Everything acknowledged by the store before [sent] has been reported. */
    public fun onConfirmed(sent: CallTime) {}

    /** Every change of the part up to [revision] has been reported. */
    public fun onReached(revision: StoreRevision) {}

    /** The store does not answer; what was reported may be out of date. */
    public fun onLost(reason: String) {}

    /** The store answers again, after [onLost]. */
    public fun onRegained() {}
}

/** A [key] that is read every [period], as a silent watch does not tell that there was nothing to hear. */
public data class Confirmation(val key: String, val period: Duration)

/**
 * How closely a part of the store is followed. Every call is paid for.
 *
 * @property wait longest wait of one watch; a silent connection is noticed a little later.
 * @property relistEvery time after which the keys are listed again, as a watch may miss changes while the store drops
 * its history.
 * @property batchPause pause after an answer with changes, so that the next one brings several.
 * @property confirmation what is read beside the watch to confirm the part; `null` where the listings are enough.
 */
public data class FollowPace(
    val wait: Duration = 1_500.milliseconds,
    val relistEvery: Duration = 3.seconds,
    val batchPause: Duration = 20.milliseconds,
    val confirmation: Confirmation? = null,
)

/** A store whose parts can be followed with the age of what is known. */
public interface FollowableStore : KeyValueStore {
    /** Reports to [follower] all keys that start with [prefix], and then every change of them. */
    public fun follow(prefix: String, follower: StoreFollower, pace: FollowPace = FollowPace()): StoreWatch
}
