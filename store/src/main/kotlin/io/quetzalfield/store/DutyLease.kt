package io.quetzalfield.store

import arrow.core.Either
import arrow.core.getOrElse
import io.quetzalfield.model.Incarnation
import kotlinx.serialization.Serializable
import org.apache.logging.log4j.LogManager
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/** The prefix of the keys that record which incarnation holds each duty. */
public const val DUTY_PREFIX: String = "duties/"

/**
 * The stored form of a held duty.
 *
 * @property lease the lease that the key is attached to; distinguishes the key from one that an earlier attempt of the
 * same holder wrote.
 */
@Serializable
public data class DutyRecord(val holder: Incarnation, val lease: Long) {
    /** Encodes this record for the store. */
    public fun toJson(): String = PlatformJson.encodeToString(serializer(), this)

    public companion object {
        /** Decodes the output of [toJson]. */
        public fun fromJson(json: String): DutyRecord = PlatformJson.decodeFromString(serializer(), json)
    }
}

/**
 * A duty that is guaranteed to be held until [validUntil].
 *
 * @property fencingNumber increases with every new holder of the duty.
 * @property era the era in which the duty was acquired; a store that has been restored since no longer has its lease.
 */
public data class HeldDuty(
    val fencingNumber: Long,
    val validUntil: ComparableTimeMark,
    val era: StoreEra = StoreEra.First,
) {
    /** Whether the duty may be acted on now. Check immediately before each action: the process may have been paused. */
    public val isValid: Boolean get() = validUntil.hasNotPassedNow()
}

/**
 * Acquires and keeps the duty [name] for one incarnation under a lease of the store.
 *
 * The holder stops by its own clock [margin] before the lease expires at the store. Validity is counted from before
 * the last call that is known to have extended the lease was sent, so that neither a slow or lost response nor a paused
 * process lets two holders act at the same time.
 */
public class DutyLease(
    private val store: KeyValueStore,
    public val name: String,
    private val holder: Incarnation,
    private val timeToLive: Duration,
    private val margin: Duration,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private val key = DUTY_PREFIX + name
    private var lease: LeaseId? = null

    @Volatile
    private var lastHeld: HeldDuty? = null

    /** The duty if it is certainly held now, otherwise `null`. */
    public val held: HeldDuty? get() = lastHeld?.takeIf { it.isValid && it.era == store.era }

    /** Whether this holder has a lease for the duty, regardless of what the store contains. */
    internal val hasLease: Boolean get() = synchronized(this) { lease != null }

    /**
     * Extends the lease, or tries to acquire the duty. Call it several times within the time to live. While another
     * incarnation holds the duty, a call costs one read.
     */
    @Synchronized
    public fun renew() {
        val wasHeld = held != null
        val current = lease
        if (current == null) acquire() else extend(current)
        val isHeld = held != null
        if (wasHeld != isHeld) logger.info("duty {} is {} by {}", name, if (isHeld) "held" else "lost", holder)
    }

    /** Releases the duty immediately. */
    @Synchronized
    public fun release() {
        lastHeld = null
        lease?.let(store::revokeLease)
        lease = null
    }

    private fun extend(current: LeaseId) {
        val sentAt = timeSource.markNow()
        val isAlive = store.keepAlive(current).getOrElse { return }
        if (isAlive) confirm(current, sentAt) else forget()
    }

    private fun acquire() {
        val existing = store.read(key).getOrElse { return }
        if (existing != null) return
        val sentAt = timeSource.markNow()
        val newLease = store.grantLease(timeToLive).getOrElse { return }
        lease = newLease
        val record = DutyRecord(holder, newLease.value)
        val result = store.compareAndSwap(key, StoreRevision.Absent, record.toJson(), newLease)
        val isConflict = result is Either.Right && result.value is SwapResult.Conflict
        if (isConflict) release() else confirm(newLease, sentAt)
    }

    /** Checks in the store that the duty is held under [current], which was certainly extended after [sentAt]. */
    private fun confirm(current: LeaseId, sentAt: ComparableTimeMark) {
        val stored = store.read(key).getOrElse { return }
        val isOwn = stored != null && DutyRecord.fromJson(stored.value) == DutyRecord(holder, current.value)
        if (stored != null && isOwn) {
            lastHeld = HeldDuty(stored.created.value, sentAt + timeToLive - margin, current.era)
        } else {
            release()
        }
    }

    private fun forget() {
        lastHeld = null
        lease = null
    }

    private companion object {
        val logger = LogManager.getLogger(DutyLease::class.java)
    }
}
