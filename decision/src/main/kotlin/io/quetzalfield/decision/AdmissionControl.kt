package io.quetzalfield.decision

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.model.RequestPriority
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Provides the part of each client account's allowance that this entry may use. */
public fun interface AllowanceShare {
    /** Tokens per minute that this entry may generate for [account]. */
    public fun tokensPerMinute(account: ClientAccountId): Double
}

/**
 * A request for admission.
 *
 * @property weight relative weight of the account when capacity is shared among accounts.
 * @property deadline time allowed for the complete answer.
 * @property expectedDuration expected time to the complete answer, including the wait for a runner.
 * @property pressure requests running and waiting at the runners that can serve the request, divided by their slots.
 */
public data class AdmissionRequest(
    val account: ClientAccountId,
    val weight: Double = 1.0,
    val priority: RequestPriority = RequestPriority.NORMAL,
    val expectedTokens: Int,
    val deadline: Duration,
    val expectedDuration: Duration = Duration.ZERO,
    val pressure: Double = 0.0,
)

/**
 * Limits of [AdmissionControl].
 *
 * @property interactivePressure pressure below which interactive requests are admitted regardless of their account's
 * share.
 * @property normalPressure the same for requests of normal priority.
 * @property backgroundPressure the same for background requests.
 * @property largestPressure pressure at and above which no request is admitted.
 * @property smallestShare requests in flight that every account may have below [largestPressure]; a lower limit would
 * refuse normal bursts of an account whose average demand is within its share.
 * @property activeAccountWindow time after its last request during which an account counts as active.
 * @property retryAfter minimum retry delay that a refused caller gets.
 */
public data class AdmissionLimits(
    val interactivePressure: Double = 1.2,
    val normalPressure: Double = 1.0,
    val backgroundPressure: Double = 0.8,
    val largestPressure: Double = 2.0,
    val smallestShare: Double = 4.0,
    val activeAccountWindow: Duration = 5.seconds,
    val retryAfter: Duration = 1.seconds,
) {
    /** The pressure below which requests of [priority] are admitted regardless of the account's share. */
    public fun freePressure(priority: RequestPriority): Double = when (priority) {
        RequestPriority.INTERACTIVE -> interactivePressure
        RequestPriority.NORMAL -> normalPressure
        RequestPriority.BACKGROUND -> backgroundPressure
    }
}

/** An admitted request. [finish] must be called exactly once, when the request has ended. */
public fun interface Admitted {
    /** Ends the request and records the number of [tokens] that it generated. */
    public fun finish(tokens: Int)
}

/**
 * Decides without queueing whether a request may run. Checks, in this order, the account's allowance, the deadline and,
 * under pressure, the account's weighted fair share of the requests that this entry has in flight.
 *
 * The fair share is computed without messages from other entries. This entry's part of the capacity is estimated as its
 * requests in flight divided by the pressure: if every entry scaled its load by that factor, the pressure would be 1.
 * An account may use the fraction of this capacity that its weight has among the recently active accounts. A refusal is
 * final and returned immediately.
 */
public class AdmissionControl(
    private val allowance: AllowanceShare,
    private val limits: AdmissionLimits = AdmissionLimits(),
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    random: Random = Random.Default,
) {
    private class Account(val weight: Double, var lastRequestAt: ComparableTimeMark) {
        val window = TokenWindow()
        var inFlight = 0
    }

    private class Shard {
        val accounts = HashMap<ClientAccountId, Account>()
    }

    private val delays = RetryDelays(random = random)
    private val origin = timeSource.markNow()
    private val shards = List(SHARD_COUNT) { Shard() }
    private val inFlight = AtomicInteger()
    private val weightLock = Any()
    private var activeWeight = 0.0
    private var activeWeightComputedAt: ComparableTimeMark? = null

    /** Admits [request], or returns the reason for its refusal. */
    public fun admit(request: AdmissionRequest): Either<NotRun, Admitted> {
        val totalWeight = activeWeight(request)
        val shard = shardOf(request.account)
        return synchronized(shard) {
            val account = accountOf(shard, request)
            val refusal = refusalOf(request, account, totalWeight)
            if (refusal == null) start(shard, account, request).right() else refusal.left()
        }
    }

    /** Number of admitted requests that have not ended. */
    public val admittedRequests: Int get() = inFlight.get()

    private fun refusalOf(request: AdmissionRequest, account: Account, totalWeight: Double): NotRun? {
        account.window.advance(origin.elapsedNow())
        val tokensLeft = allowance.tokensPerMinute(request.account) - account.window.sum
        return when {
            tokensLeft < request.expectedTokens -> allowanceSpent(request, account, tokensLeft)

            request.expectedDuration > request.deadline -> NotRun(
                refusal = RefusalReason.DEADLINE_CANNOT_BE_MET,
                message = "the answer would take ${request.expectedDuration}, more than ${request.deadline}",
                retryAfter = delays.after(limits.retryAfter),
            )

            isOverloaded(request, account, totalWeight) -> NotRun(
                refusal = RefusalReason.OVERLOADED,
                message = "runners are short and the account has ${account.inFlight} requests running",
                retryAfter = delays.after(limits.retryAfter),
            )

            else -> null
        }
    }

    private fun allowanceSpent(request: AdmissionRequest, account: Account, tokensLeft: Double): NotRun {
        val missing = (request.expectedTokens - tokensLeft).toLong() + 1
        return NotRun(
            refusal = RefusalReason.ALLOWANCE_SPENT,
            message = "the account has used ${account.window.sum} tokens in the last minute",
            retryAfter = delays.after(account.window.timeUntilFreed(missing)),
        )
    }

    private fun isOverloaded(request: AdmissionRequest, account: Account, totalWeight: Double): Boolean {
        if (request.pressure < limits.freePressure(request.priority)) return false
        if (request.pressure >= limits.largestPressure) return true
        val capacity = inFlight.get() / request.pressure
        val fairShare = (capacity * account.weight / totalWeight).coerceAtLeast(limits.smallestShare)
        return account.inFlight + 1 > fairShare
    }

    private fun start(shard: Shard, account: Account, request: AdmissionRequest): Admitted {
        account.inFlight++
        inFlight.incrementAndGet()
        account.window.add(origin.elapsedNow(), request.expectedTokens.toLong())
        return Admitted { tokens ->
            inFlight.decrementAndGet()
            synchronized(shard) {
                account.inFlight--
                account.window.add(origin.elapsedNow(), (tokens - request.expectedTokens).toLong())
            }
        }
    }

    private fun accountOf(shard: Shard, request: AdmissionRequest): Account {
        val now = timeSource.markNow()
        val known = shard.accounts[request.account]?.takeIf { it.weight == request.weight || it.inFlight > 0 }
        val account = known ?: Account(request.weight, now).also { shard.accounts[request.account] = it }
        account.lastRequestAt = now
        return account
    }

    /** Sum of the weights of the recently active accounts, cached for [WEIGHT_REFRESH]; at least that of [request]. */
    private fun activeWeight(request: AdmissionRequest): Double {
        val sum = synchronized(weightLock) {
            val isStale = activeWeightComputedAt?.let { it.elapsedNow() >= WEIGHT_REFRESH } ?: true
            if (isStale) {
                activeWeight = shards.sumOf(::activeWeightOf)
                activeWeightComputedAt = timeSource.markNow()
            }
            activeWeight
        }
        return maxOf(sum, request.weight)
    }

    private fun activeWeightOf(shard: Shard): Double = synchronized(shard) {
        shard.accounts.values
            .filter { it.inFlight > 0 || it.lastRequestAt.elapsedNow() < limits.activeAccountWindow }
            .sumOf(Account::weight)
    }

    private fun shardOf(account: ClientAccountId): Shard = shards[account.value.hashCode().mod(SHARD_COUNT)]

    private companion object {
        const val SHARD_COUNT = 16
        val WEIGHT_REFRESH = 100.milliseconds
    }
}
