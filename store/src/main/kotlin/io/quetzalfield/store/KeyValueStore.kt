package io.quetzalfield.store

import arrow.core.Either
import kotlin.time.Duration

/** The number that the store assigns to each change; it only increases. Zero denotes an absent key. */
@JvmInline
public value class StoreRevision(public val value: Long) : Comparable<StoreRevision> {
    override fun compareTo(other: StoreRevision): Int = value.compareTo(other.value)

    public companion object {
        /** The revision of a key that is absent. */
        public val Absent: StoreRevision = StoreRevision(0)
    }
}

/** The handle of a lease at the store. */
@JvmInline
public value class LeaseId(public val value: Long)

/**
 * A stored value.
 *
 * @property modified revision of the last change of the key; changes with every write.
 * @property created revision at which the key was created; serves as the fencing number of keys under a lease.
 */
public data class StoredValue(
    val key: String,
    val value: String,
    val modified: StoreRevision,
    val created: StoreRevision,
)

/** Why a call to the store failed. */
public sealed interface KeyValueError {
    public val message: String

    /** The call did not reach the store; nothing was changed. */
    public data class Unavailable(override val message: String) : KeyValueError

    /** The response was lost; a write may have taken effect. */
    public data class OutcomeUnknown(override val message: String) : KeyValueError

    /** The store responded with an error; nothing was changed. */
    public data class Rejected(override val message: String) : KeyValueError
}

/** The result of a conditional write to which the store responded. */
public sealed interface SwapResult {
    /** The write took effect at revision [stored]. */
    public data class Swapped(val stored: StoreRevision) : SwapResult

    /** The key was not at the expected revision; nothing was written. [current] is `null` if the key is absent. */
    public data class Conflict(val current: StoredValue?) : SwapResult
}

/** A change reported by a watch. [value] is `null` if the key was deleted or its lease expired. */
public data class StoreChange(val key: String, val value: StoredValue?)

/** A running watch; closing it stops the reports. */
public fun interface StoreWatch : AutoCloseable

/**
 * The platform's small key-value service: compare-and-swap, leases and watches.
 * Every call counts against its rates, a waiting watch as one.
 */
public interface KeyValueStore {
    /** Reads one key; `null` if it is absent. */
    public fun read(key: String): Either<KeyValueError, StoredValue?>

    /** Reads all keys that start with [prefix], in the order of the keys. */
    public fun list(prefix: String): Either<KeyValueError, List<StoredValue>>

    /**
     * Writes [value] if the key was last modified at [expected], or is absent for [StoreRevision.Absent].
     * A key written under [lease] is deleted when the lease expires.
     */
    public fun compareAndSwap(
        key: String,
        expected: StoreRevision,
        value: String,
        lease: LeaseId? = null,
    ): Either<KeyValueError, SwapResult>

    /** Deletes [key] if it was last modified at [expected]. */
    public fun compareAndDelete(key: String, expected: StoreRevision): Either<KeyValueError, SwapResult>

    /** Grants a lease that expires [timeToLive] after the last [keepAlive]. */
    public fun grantLease(timeToLive: Duration): Either<KeyValueError, LeaseId>

    /** Extends a lease; returns `false` if it has expired. */
    public fun keepAlive(lease: LeaseId): Either<KeyValueError, Boolean>

    /** Ends a lease immediately and deletes its keys. */
    public fun revokeLease(lease: LeaseId): Either<KeyValueError, Unit>

    /**
     * Reports every change of keys that start with [prefix]. After an interruption the watch restarts and first
     * reports the current values, so that a change may be reported twice but the last state is never missed.
     */
    public fun watch(prefix: String, onChange: (StoreChange) -> Unit): StoreWatch
}
