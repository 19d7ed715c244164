package io.quetzalfield.entry

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InterruptionReason
import io.quetzalfield.model.MayHaveRun
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.model.RequestFailure
import io.quetzalfield.model.RequestKey
import io.quetzalfield.store.KeyValueError
import io.quetzalfield.store.KeyValueStore
import io.quetzalfield.store.LeaseId
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.StoredValue
import io.quetzalfield.store.SwapResult
import kotlinx.serialization.Serializable
import java.util.UUID
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.TimeSource

/** The prefix of the store keys of claims. */
public const val CLAIM_PREFIX: String = "claims/"

/**
 * The exclusive right of [incarnation] to run an operation once.
 *
 * @property nonce identifies the claim, so that its owner recognises it when the answer to the write was lost.
 */
@Serializable
public data class Claim(val incarnation: Incarnation, val nonce: String, val fingerprint: String)

/**
 * Runs operations under the callers' own keys. Each operation is claimed in the store before it is sent; without a
 * claim it is not sent.
 *
 * A claim lasts for at least [claimRetention] and is removed when its store lease expires. The owner sends the
 * operation within [sendLimit] of requesting the claim or not at all, so that a paused owner does not send after its
 * claim has expired.
 */
internal class ClaimRegistry(
    private val incarnation: Incarnation,
    private val store: KeyValueStore,
    private val leases: ClaimLeases,
    private val sendLimit: Duration = 1.minutes,
    claimRetention: Duration = 1.hours,
    largestSize: Int = 65_536,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private class LocalClaim(val record: OperationRecord, val nonce: String)

    private val localClaims = ExpiringMap<AccountKey, LocalClaim>(claimRetention, largestSize, timeSource)

    /** Sends [call] through [sender] if this entry obtains the claim to [key]; otherwise returns the known outcome. */
    fun runOnce(call: ServiceCall, key: RequestKey, sender: ServiceSender): Either<RequestFailure, ServiceAnswer> {
        val accountKey = AccountKey(call.account, key)
        val claim = Claim(incarnation, UUID.randomUUID().toString(), call.fingerprint)
        val reserved = reserve(accountKey, claim).getOrElse { return it }
        val requestedAt = timeSource.markNow()
        val claimFailure = writeClaim(accountKey, reserved)
            ?: if (requestedAt.elapsedNow() > sendLimit) claimNotPossible("the claim took too long") else null
        val result = claimFailure?.left() ?: sender.send(call)
        recordResult(accountKey, reserved, result)
        return result
    }

    private fun recordResult(key: AccountKey, claim: Claim, result: Either<RequestFailure, ServiceAnswer>) {
        val isForAnother = (result.leftOrNull() as? NotRun)?.refusal == RefusalReason.IDEMPOTENCY_KEY_REUSED
        val record = OperationRecord(stateAfter(result), claim.fingerprint)
        localClaims.access(key) { it.value = if (isForAnother) null else LocalClaim(record, claim.nonce) }
    }

    /**
     * Marks the operation of [key] as running and returns the claim to write. It has the nonce of an earlier claim to
     * [key] whose operation was not sent. Returns the known outcome if the operation must not be sent.
     */
    private fun reserve(key: AccountKey, claim: Claim): Either<Either<RequestFailure, ServiceAnswer>, Claim> =
        localClaims.access(key) { slot ->
            val previous = slot.value
            val outcome = previous?.record?.knownOutcome(claim.fingerprint)
            if (outcome != null) return@access outcome.left()
            val nonce = previous?.nonce ?: claim.nonce
            slot.value = LocalClaim(OperationRecord(OperationState.Running, claim.fingerprint), nonce)
            Either.Right(claim.copy(nonce = nonce))
        }

    /** Writes [claim] unless the key is claimed already; returns `null` if the store contains [claim]. */
    private fun writeClaim(key: AccountKey, claim: Claim): RequestFailure? {
        val storeKey = "$CLAIM_PREFIX${key.account}/${key.key}"
        val lease = leases.current().getOrElse { return claimNotPossible(it.message) }
        val json = PlatformJson.encodeToString(Claim.serializer(), claim)
        return when (val result = store.compareAndSwap(storeKey, StoreRevision.Absent, json, lease)) {
            is Either.Right -> when (val swap = result.value) {
                is SwapResult.Swapped -> null
                is SwapResult.Conflict -> compare(swap.current, claim)
            }

            is Either.Left -> afterError(result.value, storeKey, claim, lease)
        }
    }

    private fun afterError(error: KeyValueError, storeKey: String, claim: Claim, lease: LeaseId): RequestFailure? {
        if (error is KeyValueError.OutcomeUnknown) return readBack(storeKey, claim)
        if (error is KeyValueError.Rejected) leases.discard(lease)
        return claimNotPossible(error.message)
    }

    private fun readBack(storeKey: String, claim: Claim): RequestFailure? {
        val stored = store.read(storeKey).getOrElse { return claimNotPossible(it.message) }
        return compare(stored, claim)
    }

    private fun compare(stored: StoredValue?, claim: Claim): RequestFailure? {
        val existing = stored?.let { PlatformJson.decodeFromString(Claim.serializer(), it.value) }
        return when {
            existing == null -> claimNotPossible("the claim was not written")

            existing.nonce == claim.nonce -> null

            existing.fingerprint != claim.fingerprint ->
                NotRun(RefusalReason.IDEMPOTENCY_KEY_REUSED, "used for another operation; this one has not run")

            else -> MayHaveRun(InterruptionReason.OUTCOME_UNKNOWN, "${existing.incarnation} has claimed the key")
        }
    }

    private fun claimNotPossible(message: String): NotRun =
        NotRun(RefusalReason.CLAIM_NOT_POSSIBLE, "not claimed, so this attempt has not run: $message")
}
