package io.quetzalfield.forwarding.fleet

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.getOrElse
import arrow.core.right
import io.quetzalfield.forwarding.DecisionLog
import io.quetzalfield.model.Incarnation
import io.quetzalfield.store.KeyValueError
import io.quetzalfield.store.KeyValueStore
import io.quetzalfield.store.LeaseId
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.SwapResult
import kotlinx.serialization.Serializable
import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

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

/**
 * Keeps this instance's record in the store under a lease, until it leaves. The terms of the lease are those of
 * [MembershipTerms] for the number of instances that [memberCount] returns.
 */
public class Membership(
    private val store: KeyValueStore,
    private val record: MemberRecord,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val random: Random = Random.Default,
    private val memberCount: () -> Int = { 1 },
) {
    private val key = FleetKeys.member(record.incarnation)
    private var recorded: StoreRevision? = null
    private var timeToLive = Duration.ZERO
    private var extendedAt: ComparableTimeMark? = null
    private var joinedAt: ComparableTimeMark? = null
    private var nextPeriod = Duration.ZERO
    private var hasLeft = false

    /** The lease under which this instance's keys are kept; `null` while it has none. */
    @Volatile
    public var lease: LeaseId? = null
        private set

    /**
     * Extends the lease if that is due, or joins again when it has lapsed. Call it each second: it calls the store as
     * often as the terms require.
     */
    @Synchronized
    public fun renew() {
        if (hasLeft) return
        val current = lease
        val revision = recorded
        // A restored store has lost the lease, or may have granted its id to another instance.
        if (current == null || revision == null || current.era != store.era) return join()
        val terms = MembershipTerms.of(memberCount())
        if (isTooShort(terms)) return record(terms, revision)
        if (isDue(terms)) extend(current)
    }

    /** Leaves the list, so that no more callers are sent here; final for this incarnation. */
    @Synchronized
    public fun leave() {
        hasLeft = true
        val current = lease ?: return
        lease = null
        recorded = null
        val result = if (current.era == store.era) store.revokeLease(current) else deleteRecord()
        DecisionLog.write("membership_left", "lease" to current.value, "error" to result.errorMessage())
    }

    /** Deletes the record that a restored store may contain under a lease of an earlier era. */
    private fun deleteRecord(): Either<KeyValueError, *> =
        store.read(key).flatMap { stored -> stored?.let { store.compareAndDelete(key, it.modified) } ?: Unit.right() }

    /** Whether the lease was granted for a much smaller fleet, and the list has had time to settle since. */
    private fun isTooShort(terms: MembershipTerms): Boolean {
        val isSettled = joinedAt?.let { it.elapsedNow() >= Settling } ?: false
        return isSettled && terms.timeToLive >= timeToLive * LENGTHENING
    }

    private fun isDue(terms: MembershipTerms): Boolean {
        val period = minOf(terms.period, timeToLive / MembershipTerms.EXTENSIONS_PER_LIFE)
        if (period <= MembershipTerms.ShortestPeriod) return true
        return extendedAt?.let { it.elapsedNow() >= minOf(period, nextPeriod) } ?: true
    }

    private fun extend(current: LeaseId) {
        val sent = timeSource.markNow()
        val isAlive = store.keepAlive(current).getOrElse { return }
        if (isAlive) return recordExtension(sent)
        DecisionLog.write("membership_lapsed", "lease" to current.value)
        join()
    }

    private fun recordExtension(sent: ComparableTimeMark) {
        extendedAt = sent
        // Instances that joined together do not extend their leases together.
        nextPeriod = timeToLive / MembershipTerms.EXTENSIONS_PER_LIFE * random.nextDouble(SMALLEST_PART, 1.0)
    }

    private fun join() {
        joinedAt = timeSource.markNow()
        record(MembershipTerms.of(memberCount()), expected = null)
    }

    /** Writes the record under a new lease; [expected] is its revision, `null` if that is not known. */
    private fun record(terms: MembershipTerms, expected: StoreRevision?) {
        recorded = null
        val sent = timeSource.markNow()
        val granted = store.grantLease(terms.timeToLive).getOrElse { return }
        lease = granted
        timeToLive = terms.timeToLive
        recorded = write(granted, expected ?: StoreRevision.Absent)
        recordExtension(sent)
        DecisionLog.write(
            "membership_joined",
            "lease" to granted.value,
            "recorded" to (recorded != null),
            "time_to_live" to timeToLive,
        )
    }

    private fun write(granted: LeaseId, expected: StoreRevision): StoreRevision? {
        val json = PlatformJson.encodeToString(MemberRecord.serializer(), record)
        val first = store.compareAndSwap(key, expected, json, granted).getOrElse { return null }
        val result = when (first) {
            is SwapResult.Swapped -> first

            // An earlier write whose response was lost, or the record has lapsed.
            is SwapResult.Conflict -> {
                val current = first.current?.modified ?: StoreRevision.Absent
                store.compareAndSwap(key, current, json, granted).getOrElse { return null }
            }
        }
        return (result as? SwapResult.Swapped)?.stored
    }

    private fun Either<KeyValueError, *>.errorMessage(): String? = (this as? Either.Left)?.value?.message

    private companion object {
        /** Time in which instances that start together appear in the list. */
        val Settling: Duration = MembershipTerms.ShortestPeriod * 4

        /** How many times longer the terms must be; an extension costs a tenth of each call for a new lease. */
        const val LENGTHENING = 4

        /** Least part of a period after which the lease is extended. */
        const val SMALLEST_PART = 0.8
    }
}
