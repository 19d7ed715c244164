package io.quetzalfield.forwarding.choice

import io.quetzalfield.decision.stableHash
import io.quetzalfield.forwarding.endpoints.Endpoint
import kotlin.math.ln
import kotlin.math.pow
import kotlin.math.roundToInt
import kotlin.time.ComparableTimeMark

/**
 * The home endpoints of shared prompt parts, whose memories are assumed to hold them. Used on the event loop only.
 *
 * Load pattern: the demand for one part exceeds what its home can read, and every instance that goes elsewhere chooses
 * another endpoint, which reads the part once more. Homes follow one another in an order that is the same at every
 * instance, weighted by speed: the next one becomes a home, and holds a copy, when all before it have more work than
 * [overloadFactor] times the mean, so that parts in demand have copies before their homes are the busiest.
 */
internal class PartHomes(private val overloadFactor: Double = OVERLOAD_FACTOR) {
    private val lastHomes = object : LinkedHashMap<String, List<Endpoint>>() {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, List<Endpoint>>) = size > REMEMBERED
    }

    /** Returns the homes of the last shared part of [work]; none if it has none. */
    fun of(work: Work, usable: List<Endpoint>, now: ComparableTimeMark): List<Endpoint> {
        val key = keyOf(work) ?: return emptyList()
        val ordered = usable.sortedBy { rank(key, it, now) }
        val bound = maxOf(usable.sumOf { timeOfWork(it, now) } / usable.size * overloadFactor, LEAST_OVERLOAD)
        val copies = 1 + ordered.takeWhile { timeOfWork(it, now) > bound }.size
        return ordered.take(minOf(copies, MOST_HOMES)).also { lastHomes[key] = it }
    }

    /** Whether [endpoint] was a home of the last shared part of [work] when its homes were last selected. */
    fun isHome(work: Work, endpoint: Endpoint): Boolean =
        keyOf(work)?.let { lastHomes[it] }.orEmpty().any { it === endpoint }

    private fun keyOf(work: Work): String? =
        work.prompt.dropLast(1).lastOrNull()?.let { "${work.model?.value}/${it.id}" }

    /** Weighted rendezvous hashing: an endpoint of half the speed is the first of half as many parts. */
    private fun rank(key: String, endpoint: Endpoint, now: ComparableTimeMark): Double {
        val hash = stableHash("$key|${endpoint.id.value}")
        val fraction = ((hash ushr (Long.SIZE_BITS - FRACTION_BITS)) + 1).toDouble() / (1L shl FRACTION_BITS)
        return -ln(fraction) * coarseSlowness(endpoint, now)
    }

    /** In steps, so that instances whose knowledge differs a little select the same homes. */
    private fun coarseSlowness(endpoint: Endpoint, now: ComparableTimeMark): Double =
        SLOWNESS_STEP.pow((ln(endpoint.speed.slownessAt(now)) / ln(SLOWNESS_STEP)).roundToInt())

    private fun timeOfWork(endpoint: Endpoint, now: ComparableTimeMark): Double =
        WaitingWork.tokensAt(endpoint, now) * endpoint.speed.slownessAt(now)

    private companion object {
        const val OVERLOAD_FACTOR = 0.8
        const val SLOWNESS_STEP = 1.6
        const val FRACTION_BITS = 53
        const val MOST_HOMES = 6
        const val REMEMBERED = 1_000

        /** Work, in prompt tokens, below which no endpoint counts as overloaded. */
        const val LEAST_OVERLOAD = 10_000.0
    }
}
