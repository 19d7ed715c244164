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
    private class Grant(val lease: LeaseId, val requestedAt: ComparableTimeMark)

    private class Failure(val error: KeyValueError, val failedAt: ComparableTimeMark)

    private var currentGrant: Grant? = null
    private var lastFailure: Failure? = null

    /** Returns the lease for claims made now. A failed request for a lease is not repeated within [FAILURE_PAUSE]. */
    @Synchronized
    fun current(): Either<KeyValueError, LeaseId> {
        currentGrant?.takeIf { it.requestedAt.elapsedNow() < period }?.let { return it.lease.right() }
        lastFailure?.takeIf { it.failedAt.elapsedNow() < FAILURE_PAUSE }?.let { return it.error.left() }
        val requestedAt = timeSource.markNow()
        return store.grantLease(retention + period)
            .onRight { currentGrant = Grant(it, requestedAt) }
            .onLeft { lastFailure = Failure(it, timeSource.markNow()) }
    }

    /** Stops using [lease], which the store no longer knows. */
    @Synchronized
    fun discard(lease: LeaseId) {
        if (currentGrant?.lease == lease) currentGrant = null
    }

    private companion object {
        val FAILURE_PAUSE = 1.seconds
    }
}
