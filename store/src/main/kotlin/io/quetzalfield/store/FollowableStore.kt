package io.quetzalfield.store

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** The time at which a call was sent, by the monotonic clock and by the wall clock. */
public data class CallTime(val mark: ComparableTimeMark, val instant: Instant)

/** Receives the contents and changes of a part of the store. All calls are made on one thread. */
public interface StoreFollower {
    /** The part contains exactly [values] at [revision]; they replace everything reported before. */
    public fun onState(values: List<StoredValue>, revision: StoreRevision)

    /** One key has changed. */
    public fun onChange(change: StoreChange)

    /** Everything acknowledged by the store before [sent] has been reported. */
    public fun onConfirmed(sent: CallTime) {}

    /** Every change of the part up to [revision] has been reported. */
    public fun onRevisionReached(revision: StoreRevision) {}

    /** The store does not respond; the reported values may be out of date. */
    public fun onUnavailable(reason: String) {}

    /** The store responds again after [onUnavailable]. */
    public fun onAvailable() {}
}

/**
 * A [key] that is read every [period], because a watch without events does not prove that nothing changed. After a
 * [gap][isGap] the whole part is listed instead: the watch may still hang on a connection that no longer exists, and
 * then knows nothing of the other keys.
 */
public data class Confirmation(val key: String, val period: Duration) {
    /** Whether [silence] since the last confirmation is longer than calls that fail now and then explain. */
    public fun isGap(silence: Duration): Boolean = silence > period * PERIODS_OF_A_GAP

    private companion object {
        const val PERIODS_OF_A_GAP = 4
    }
}

/**
 * Intervals at which a part of the store is watched and read. Every call to the store has a cost.
 *
 * @property wait longest wait of one watch call; a silent connection is detected shortly after it.
 * @property relistInterval interval at which the keys are listed again, because a watch can miss changes while the
 * store drops its history.
 * @property batchPause pause after a response with changes, so that the next response contains several.
 * @property longestBatchPause the same while changes go on, as when many instances start; it grows up to this.
 * @property restorationAllowance time for which a key that a restored store lacks is not taken for deleted, as its
 * writer may write it again.
 * @property confirmation key that is read in addition to the watch to confirm that the part is current; `null` if the
 * listings suffice.
 */
public data class FollowSettings(
    val wait: Duration = 1_500.milliseconds,
    val relistInterval: Duration = 3.seconds,
    val batchPause: Duration = 20.milliseconds,
    val longestBatchPause: Duration = batchPause,
    val restorationAllowance: Duration = 3.seconds,
    val confirmation: Confirmation? = null,
)

/** A store that reports the changes of its parts and how current the reported values are. */
public interface FollowableStore : KeyValueStore {
    /** Reports to [follower] all keys that start with [prefix], and then every change of them. */
    public fun follow(prefix: String, follower: StoreFollower, settings: FollowSettings = FollowSettings()): StoreWatch
}
