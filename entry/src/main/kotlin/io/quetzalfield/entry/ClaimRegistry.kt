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

/** The prefix of the keys that hold claims. */
public const val CLAIM_PREFIX: String = "claims/"

/**
 * Who may run an operation, and only once.
 *
 * @property nonce unique to the claim, so that its owner recognises it after a lost answer.
 */
@Serializable
public data class Claim(val incarnation: Incarnation, val nonce: String, val fingerprint: String)

/**
 * Runs operations under the callers' own keys. Each is claimed in the store before it is sent; without a claim nothing
 * is sent.
 *
 * A claim lasts for [claimRetention] at least and is removed by the lapse of a lease of the store. Its owner sends
 * within [sendLimit] of asking for it or not at all, so that a paused owner does not send after the claim has gone.
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
    private class Known(val record: OperationRecord, val nonce: String)

    private val known = ExpiringMap<AccountKey, Known>(claimRetention, largestSize, timeSource)

    /** Sends [call] by [sender] if this entry gets the claim to [key]; else says what is known. */
    fun runOnce(call: ServiceCall, key: RequestKey, sender: ServiceSender): Either<RequestFailure, ServiceAnswer> {
        val accountKey = AccountKey(call.account, key)
        val claim = Claim(incarnation, UUID.randomUUID().toString(), call.fingerprint)
        val owned = take(accountKey, claim).getOrElse { return it }
        val started = timeSource.markNow()
        val obstacle = obtain(accountKey, owned)
            ?: if (started.elapsedNow() > sendLimit) notPossible("the claim took too long") else null
        val result = obstacle?.left() ?: sender.send(call)
        remember(accountKey, owned, result)
        return result
    }

    private fun remember(key: AccountKey, claim: Claim, result: Either<RequestFailure, ServiceAnswer>) {
        val isForAnother = (result.leftOrNull() as? NotRun)?.refusal == RefusalReason.IDEMPOTENCY_KEY_REUSED
        val record = OperationRecord(stateAfter(result), claim.fingerprint)
        known.access(key) { it.value = if (isForAnother) null else Known(record, claim.nonce) }
    }

    /** Marks the key as running; the claim to ask for, which is the former one when that was never used. */
    private fun take(key: AccountKey, claim: Claim): Either<Either<RequestFailure, ServiceAnswer>, Claim> =
        known.access(key) { slot ->
            val former = slot.value
            val answer = former?.record?.answerTo(claim.fingerprint)
            if (answer != null) return@access answer.left()
            val nonce = former?.nonce ?: claim.nonce
            slot.value = Known(OperationRecord(OperationState.Running, claim.fingerprint), nonce)
            Either.Right(claim.copy(nonce = nonce))
        }

    /** Writes [claim] unless another has claimed the key; `null` when [claim] stands in the store. */
    private fun obtain(key: AccountKey, claim: Claim): RequestFailure? {
        val storeKey = "$CLAIM_PREFIX${key.account}/${key.key}"
        val lease = leases.current().getOrElse { return notPossible(it.message) }
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
        return notPossible(error.message)
    }

    private fun readBack(storeKey: String, claim: Claim): RequestFailure? {
        val stored = store.read(storeKey).getOrElse { return notPossible(it.message) }
        return compare(stored, claim)
    }

    private fun compare(stored: StoredValue?, claim: Claim): RequestFailure? {
        val standing = stored?.let { PlatformJson.decodeFromString(Claim.serializer(), it.value) }
        return when {
            standing == null -> notPossible("the claim was not written")

            standing.nonce == claim.nonce -> null

            standing.fingerprint != claim.fingerprint ->
                NotRun(RefusalReason.IDEMPOTENCY_KEY_REUSED, "used for another operation; this one has not run")

            else -> MayHaveRun(InterruptionReason.OUTCOME_UNKNOWN, "${standing.incarnation} has claimed the key")
        }
    }

    private fun notPossible(message: String): NotRun =
        NotRun(RefusalReason.CLAIM_NOT_POSSIBLE, "not claimed, so this attempt has not run: $message")
}
