package io.quetzalfield.store

import arrow.core.Either
import kotlinx.serialization.Serializable
import kotlin.time.Duration

/**
 * The number of times that the store has been restored from a backup, after which its revision counter continues from
 * an earlier value. Zero for a store that does not report it.
 */
@JvmInline
public value class StoreEra(public val value: Long) : Comparable<StoreEra> {
    override fun compareTo(other: StoreEra): Int = value.compareTo(other.value)

    public companion object {
        /** The era of a store that has never been restored. */
        public val First: StoreEra = StoreEra(0)

        /** Largest era that a [StoreRevision] can represent. */
        public val Largest: StoreEra = StoreEra(Long.MAX_VALUE ushr StoreRevision.NUMBER_BITS)
    }
}

/**
 * Position in the history of the store: an era and the number that the store assigned to the change within it. Any
 * revision of a later era is greater than those of earlier ones.
 *
 * @property value the era in the high bits and the number in the low [NUMBER_BITS] bits; in the first era, the number.
 */
@JvmInline
@Serializable
public value class StoreRevision(public val value: Long) : Comparable<StoreRevision> {
    /** The era in which the store assigned [number]. */
    public val era: StoreEra get() = StoreEra(value ushr NUMBER_BITS)

    /** The number as the store states it. */
    public val number: Long get() = value and LARGEST_NUMBER

    override fun compareTo(other: StoreRevision): Int = value.compareTo(other.value)

    override fun toString(): String = "${era.value}.$number"

    public companion object {
        internal const val NUMBER_BITS = 44
        private const val LARGEST_NUMBER = (1L shl NUMBER_BITS) - 1

        /** The revision of a key that is absent. */
        public val Absent: StoreRevision = StoreRevision(0)

        /**
         * The revision [number] of [era].
         *
         * @throws IllegalArgumentException if either is outside the range that a revision can represent.
         */
        public fun of(era: StoreEra, number: Long): StoreRevision {
            require(era.value in 0..StoreEra.Largest.value) { "the era ${era.value} is out of range" }
            require(number in 0..LARGEST_NUMBER) { "the revision $number is out of range" }
            return StoreRevision((era.value shl NUMBER_BITS) or number)
        }
    }
}

/** The handle of a lease at the store. A restored store may assign [value] again, so that [era] is a part of it. */
public data class LeaseId(val value: Long, val era: StoreEra = StoreEra.First)

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
    /**
     * The latest era that the store has reported in any response. A condition on a revision of an earlier era does not
     * hold, and a lease of an earlier era counts as expired.
     */
    public val era: StoreEra get() = StoreEra.First

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
