package io.quetzalfield.forwarding.fleet

import arrow.core.Either
import arrow.core.getOrElse
import io.quetzalfield.forwarding.DecisionLog
import io.quetzalfield.model.Incarnation
import io.quetzalfield.store.KeyValueError
import io.quetzalfield.store.KeyValueStore
import io.quetzalfield.store.LeaseId
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.SwapResult
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Record by which an instance announces itself to the others.
 *
 * @property address where it accepts callers' requests.
 * @property peerAddress where it receives datagrams of the other instances; `null` if it receives none.
 */
@Serializable
public data class MemberRecord(
    val incarnation: Incarnation,
    val address: String,
    val failureDomain: String,
    val peerAddress: String? = null,
)

/** Keeps this instance's record in the store under a lease, until it leaves. */
public class Membership(
    private val store: KeyValueStore,
    private val record: MemberRecord,
    private val timeToLive: Duration = TimeToLive,
) {
    private val key = FleetKeys.member(record.incarnation)
    private var isRecorded = false
    private var hasLeft = false

    /** The lease under which this instance's keys are kept; `null` while it has none. */
    @Volatile
    public var lease: LeaseId? = null
        private set

    /** Extends the lease, or joins again when it has lapsed. Call it several times within the time to live. */
    @Synchronized
    public fun renew() {
        if (hasLeft) return
        val current = lease
        if (current != null && isRecorded) {
            val isAlive = store.keepAlive(current).getOrElse { return }
            if (isAlive) return
            DecisionLog.write("membership_lapsed", "lease" to current.value)
        }
        join()
    }

    /** Leaves the list, so that no more callers are sent here; final for this incarnation. */
    @Synchronized
    public fun leave() {
        hasLeft = true
        val current = lease ?: return
        lease = null
        isRecorded = false
        val result = store.revokeLease(current)
        DecisionLog.write("membership_left", "lease" to current.value, "error" to result.errorMessage())
    }

    private fun join() {
        isRecorded = false
        val granted = store.grantLease(timeToLive).getOrElse { return }
        lease = granted
        val json = PlatformJson.encodeToString(MemberRecord.serializer(), record)
        val expected = store.read(key).getOrElse { return }?.modified ?: StoreRevision.Absent
        val result = store.compareAndSwap(key, expected, json, granted)
        isRecorded = result is Either.Right && result.value is SwapResult.Swapped
        DecisionLog.write("membership_joined", "lease" to granted.value, "recorded" to isRecorded)
    }

    private fun Either<KeyValueError, *>.errorMessage(): String? = (this as? Either.Left)?.value?.message

    private companion object {
        /** Callers skip an address that fails, so a dead instance may stay listed for this long. */
        val TimeToLive = 3.seconds
    }
}
