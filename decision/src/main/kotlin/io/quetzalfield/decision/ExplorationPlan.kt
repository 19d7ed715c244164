package io.quetzalfield.decision

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.math.exp
import kotlin.random.Random

/**
 * How many requests try a route that may prove to be better. The share falls from [firstShare] to [lastShare], by a
 * factor of e for each [decisions] decisions on a kind of request.
 */
public data class ExplorationPlan(
    val firstShare: Double = 0.2,
    val lastShare: Double = 0.05,
    val decisions: Int = 1_000,
) {
    /** The share after [decided] decisions on a kind of request. */
    public fun share(decided: Long): Double =
        lastShare + (firstShare - lastShare) * exp(-decided.toDouble() / decisions)

    public companion object {
        /** Explores nothing. */
        public val None: ExplorationPlan = ExplorationPlan(firstShare = 0.0, lastShare = 0.0)
    }
}

/** Draws the requests that explore, by [plan]. Thread-safe if [random] is. */
internal class ExplorationDraw(private val plan: ExplorationPlan, private val random: Random) {
    private val decidedByKind = ConcurrentHashMap<String, AtomicLong>()

    /** Whether [request] explores. New sessions never do, as they would keep what is tried to their end. */
    fun isExploration(request: RouteRequest): Boolean {
        if (request.maximumStages < 2) return false
        val kind = if (decidedByKind.size < MAXIMUM_KINDS) request.kind else OTHER_KINDS
        val decided = decidedByKind.computeIfAbsent(kind) { AtomicLong() }.getAndIncrement()
        return random.nextDouble() < plan.share(decided)
    }

    /** Leaves each of [stages] out with probability one half, so that in time all combinations are tried. */
    fun <T> someOf(stages: List<T>): List<T> = stages.filter { random.nextBoolean() }.ifEmpty { stages }

    private companion object {
        const val MAXIMUM_KINDS = 256
        const val OTHER_KINDS = ""
    }
}
