package io.quetzalfield.decision

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.math.exp
import kotlin.random.Random

/**
 * Share of requests that explore routes that may turn out to be better. It decays exponentially from [firstShare] to
 * [lastShare] with the number of decisions on a kind of request.
 *
 * @property firstShare share for the first decision, from 0 to 1.
 * @property lastShare share that is approached in the long run, from 0 to 1.
 * @property decisions number of decisions in which the difference to [lastShare] shrinks by a factor of e.
 */
public data class ExplorationPlan(
    val firstShare: Double = 0.2,
    val lastShare: Double = 0.05,
    val decisions: Int = 1_000,
) {
    /** The share of exploring requests after [decided] decisions on a kind of request. */
    public fun share(decided: Long): Double =
        lastShare + (firstShare - lastShare) * exp(-decided.toDouble() / decisions)

    public companion object {
        /** No exploration. */
        public val None: ExplorationPlan = ExplorationPlan(firstShare = 0.0, lastShare = 0.0)
    }
}

/** Selects at random the requests that explore, according to [plan]. Thread-safe if [random] is. */
internal class ExplorationSampler(private val plan: ExplorationPlan, private val random: Random) {
    private val decidedByKind = ConcurrentHashMap<String, AtomicLong>()

    /** Whether [request] explores. New sessions never do, because they would keep the explored version to their end. */
    fun isExploration(request: RouteRequest): Boolean {
        if (request.maximumStages < 2) return false
        val kind = if (decidedByKind.size < MAXIMUM_KINDS) request.kind else OTHER_KINDS
        val decided = decidedByKind.computeIfAbsent(kind) { AtomicLong() }.getAndIncrement()
        return random.nextDouble() < plan.share(decided)
    }

    /** Omits each of [stages] with probability one half, so that all combinations are tried eventually. */
    fun <T> randomSubset(stages: List<T>): List<T> = stages.filter { random.nextBoolean() }.ifEmpty { stages }

    private companion object {
        const val MAXIMUM_KINDS = 256
        const val OTHER_KINDS = ""
    }
}
