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

/** The part of each client account's allowance that this entry may spend. */
public fun interface AllowanceShare {
    /** Tokens per minute that this entry may generate for [account]. */
    public fun tokensPerMinute(account: ClientAccountId): Double
}

/**
 * What admission is asked for.
 *
 * @property weight the account's share of scarce capacity in proportion to the others.
 * @property deadline time within which the whole answer is wanted.
 * @property expectedDuration time that the answer is expected to take, its wait for a runner included.
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
 * Limits of admission.
 *
 * @property interactivePressure pressure up to which interactive requests are admitted whatever their account's share.
 * @property normalPressure the same for requests of normal priority.
 * @property backgroundPressure the same for background requests.
 * @property largestPressure pressure from which nothing is admitted.
 * @property smallestShare requests in flight that every account may have below [largestPressure]; a smaller fair share
 * would refuse the usual bursts of an account whose demand is within it on average.
 * @property activeFor time since its last request in which an account counts as one that shares the capacity.
 * @property retryAfter least time after which a refused caller is told to come back.
 */
public data class AdmissionLimits(
    val interactivePressure: Double = 1.2,
    val normalPressure: Double = 1.0,
    val backgroundPressure: Double = 0.8,
    val largestPressure: Double = 2.0,
    val smallestShare: Double = 4.0,
    val activeFor: Duration = 5.seconds,
    val retryAfter: Duration = 1.seconds,
) {
    /** The pressure up to which requests of [priority] are admitted whatever their account's share. */
    public fun freePressure(priority: RequestPriority): Double = when (priority) {
        RequestPriority.INTERACTIVE -> interactivePressure
        RequestPriority.NORMAL -> normalPressure
        RequestPriority.BACKGROUND -> backgroundPressure
    }
}

/** An admitted request; [finish] must be called once, when it has ended. */
public fun interface Admitted {
    /** Ends the request, which generated [tokens]. */
    public fun finish(tokens: Int)
}

/**
 * Decides at once whether a request runs. In this order: the account's allowance, the deadline, and when runners are
 * short the account's weighted fair share of what this entry has in flight.
 *
 * The fair share needs no word from other entries. This entry's part of the capacity is its requests in flight divided
 * by the pressure, for if all entries had that many the pressure would be 1; an account may fill its weight's part of
 * it among the accounts that were active of late. A refusal is final and never held back.
 */
public class AdmissionControl(
    private val allowance: AllowanceShare,
    private val limits: AdmissionLimits = AdmissionLimits(),
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    random: Random = Random.Default,
) {
    private class Account(val weight: Double, var lastAsked: ComparableTimeMark) {
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
    private var activeWeightAt: ComparableTimeMark? = null

    /** Admits [request], or says why not. */
    public fun admit(request: AdmissionRequest): Either<NotRun, Admitted> {
        val totalWeight = activeWeight(request)
        val shard = shardOf(request.account)
        return synchronized(shard) {
            val account = accountOf(shard, request)
            val refusal = refusalOf(request, account, totalWeight)
            if (refusal == null) start(shard, account, request).right() else refusal.left()
        }
    }

    /** How many admitted requests have not ended. */
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
        account.lastAsked = now
        return account
    }

    /** The weights of the accounts that were active of late, summed anew once in a while. */
    private fun activeWeight(request: AdmissionRequest): Double {
        val sum = synchronized(weightLock) {
            val isOld = activeWeightAt?.let { it.elapsedNow() >= WEIGHT_REFRESH } ?: true
            if (isOld) {
                activeWeight = shards.sumOf(::activeWeightOf)
                activeWeightAt = timeSource.markNow()
            }
            activeWeight
        }
        return maxOf(sum, request.weight)
    }

    private fun activeWeightOf(shard: Shard): Double = synchronized(shard) {
        shard.accounts.values
            .filter { it.inFlight > 0 || it.lastAsked.elapsedNow() < limits.activeFor }
            .sumOf(Account::weight)
    }

    private fun shardOf(account: ClientAccountId): Shard = shards[account.value.hashCode().mod(SHARD_COUNT)]

    private companion object {
        const val SHARD_COUNT = 16
        val WEIGHT_REFRESH = 100.milliseconds
    }
}
