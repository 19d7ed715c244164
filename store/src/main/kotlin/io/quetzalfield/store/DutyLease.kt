package io.quetzalfield.store

import arrow.core.Either
import arrow.core.getOrElse
import io.quetzalfield.model.Incarnation
import kotlinx.serialization.Serializable
import org.apache.logging.log4j.LogManager
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/** The prefix of the keys that say who holds a duty. */
public const val DUTY_PREFIX: String = "duties/"

/**
 * The stored form of a held duty.
 *
 * @property lease the lease of the store under which the key lives; tells a key of an earlier try of the same holder
 * from the present one.
 */
@Serializable
public data class DutyRecord(val holder: Incarnation, val lease: Long) {
    /** The stored form. */
    public fun toJson(): String = PlatformJson.encodeToString(serializer(), this)

    public companion object {
        /** Reads what [toJson] writes. */
        public fun fromJson(json: String): DutyRecord = PlatformJson.decodeFromString(serializer(), json)
    }
}

/**
 * A duty that is held for certain until [validUntil].
 *
 * @property fencingNumber grows with every new holder of the duty.
 */
public data class HeldDuty(val fencingNumber: Long, val validUntil: ComparableTimeMark) {
    /** Whether the duty may be acted on now. Ask right before each act, as the process may have been paused. */
    public val isValid: Boolean get() = validUntil.hasNotPassedNow()
}

/**
 * Holds the duty [name] for one incarnation under a lease of the store.
 *
 * The holder's own clock ends the duty [margin] before the store would. Validity counts from before the call that
 * certainly extended the lease was sent, so that neither a slow or lost answer nor a pause lets two holders act at
 * once.
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

    /** The duty if it is held for certain now. */
    public val held: HeldDuty? get() = lastHeld?.takeIf(HeldDuty::isValid)

    /** Whether this holder has a lease for the duty, whatever stands in the store. */
    internal val isTrying: Boolean get() = synchronized(this) { lease != null }

    /**
     * Extends the lease, or tries to become the holder. Call it several times within the time to live. While another
     * holds the duty, a call costs one read.
     */
    @Synchronized
    public fun renew() {
        val wasHeld = held != null
        val current = lease
        if (current == null) acquire() else extend(current)
        val isHeld = held != null
        if (wasHeld != isHeld) logger.info("duty {} is {} by {}", name, if (isHeld) "held" else "lost", holder)
    }

    /** Gives the duty up at once. */
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
        val standing = store.read(key).getOrElse { return }
        if (standing != null) return
        val sentAt = timeSource.markNow()
        val newLease = store.grantLease(timeToLive).getOrElse { return }
        lease = newLease
        val record = DutyRecord(holder, newLease.value)
        val result = store.compareAndSwap(key, StoreRevision.Absent, record.toJson(), newLease)
        val isTaken = result is Either.Right && result.value is SwapResult.Conflict
        if (isTaken) release() else confirm(newLease, sentAt)
    }

    /** Reads whether the duty stands under [current], which was certainly extended after [sentAt]. */
    private fun confirm(current: LeaseId, sentAt: ComparableTimeMark) {
        val stored = store.read(key).getOrElse { return }
        val isOwn = stored != null && DutyRecord.fromJson(stored.value) == DutyRecord(holder, current.value)
        if (stored != null && isOwn) {
            lastHeld = HeldDuty(stored.created.value, sentAt + timeToLive - margin)
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
