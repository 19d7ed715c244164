package io.quetzalfield.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.quetzalfield.store.KeyValueError
import io.quetzalfield.store.KeyValueStore
import io.quetzalfield.store.LeaseId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Leases whose expiry removes claims from the store. All claims made within a [period] share one lease, which is never
 * extended. The lease is granted for [retention] plus [period], so each claim lasts for at least [retention].
 */
internal class ClaimLeases(
    private val store: KeyValueStore,
    private val retention: Duration = 24.hours,
    private val period: Duration = 1.hours,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private class Granted(val lease: LeaseId, val askedAt: ComparableTimeMark)

    private class Failed(val error: KeyValueError, val since: ComparableTimeMark)

    private var granted: Granted? = null
    private var failed: Failed? = null

    /** Returns the lease for claims made now. A failed request for a lease is not repeated within [FAILURE_PAUSE]. */
    @Synchronized
    fun current(): Either<KeyValueError, LeaseId> {
        granted?.takeIf { it.askedAt.elapsedNow() < period }?.let { return it.lease.right() }
        failed?.takeIf { it.since.elapsedNow() < FAILURE_PAUSE }?.let { return it.error.left() }
        val askedAt = timeSource.markNow()
        return store.grantLease(retention + period)
            .onRight { granted = Granted(it, askedAt) }
            .onLeft { failed = Failed(it, timeSource.markNow()) }
    }

    /** Stops using [lease], which the store no longer knows. */
    @Synchronized
    fun discard(lease: LeaseId) {
        if (granted?.lease == lease) granted = null
    }

    private companion object {
        val FAILURE_PAUSE = 1.seconds
    }
}
