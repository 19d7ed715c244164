package io.quetzalfield.forwarding.endpoints

import io.quetzalfield.model.Incarnation
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.seconds

/**
 * What an instance has learnt of the speed of an endpoint.
 *
 * @property logarithm natural logarithm of the slowness: the time of answers in relation to the mean of the service.
 * @property weight number of answers from which it was learnt; older ones count less.
 */
public data class SpeedSample(val logarithm: Double, val weight: Double)

/**
 * Slowness of one endpoint, from the answers of all instances. Used on the event loop only.
 *
 * Load pattern: endpoints of one service differ in speed for as long as they run, single answers take several times
 * longer for other reasons, and with many instances each of them sees an endpoint only every few seconds. Ratios are
 * averaged as logarithms within bounds, and a mean of few answers is drawn to 1, so that a new endpoint starts at the
 * mean of its service.
 */
public class EndpointSpeed {
    private class Learnt(val sample: SpeedSample, val at: ComparableTimeMark) {
        fun at(now: ComparableTimeMark) = sample.copy(weight = sample.weight * HALF.pow((now - at) / HalfLife))
    }

    private var own: Learnt? = null
    private val heard = HashMap<Incarnation, Learnt>()

    /** Records an answer that took [ratio] of the time expected at the mean speed of the service. */
    public fun record(ratio: Double, now: ComparableTimeMark) {
        val before = own?.at(now) ?: SpeedSample(logarithm = 0.0, weight = 0.0)
        val next = ln(ratio.coerceIn(1 / LARGEST_RATIO, LARGEST_RATIO))
        val weight = before.weight + 1
        own = Learnt(SpeedSample((before.logarithm * before.weight + next) / weight, weight), now)
    }

    /** Replaces what [peer] has learnt; values that make no sense are ignored. */
    public fun update(peer: Incarnation, sample: SpeedSample, now: ComparableTimeMark) {
        if (!sample.logarithm.isFinite() || sample.weight !in 0.0..LARGEST_WEIGHT) return
        val bound = ln(LARGEST_RATIO)
        heard.values.removeIf { it.at(now).weight < LEAST_WEIGHT }
        heard[peer] = Learnt(sample.copy(logarithm = sample.logarithm.coerceIn(-bound, bound)), now)
    }

    /**
     * What this instance has learnt itself, together with what those peers have that [includes] selects; `null` if that
     * is next to nothing.
     */
    public fun learnt(now: ComparableTimeMark, includes: (Incarnation) -> Boolean = { false }): SpeedSample? =
        combine(listOfNotNull(own) + heard.filterKeys(includes).values, now)

    /** Time that answers take in relation to the mean of the service. */
    public fun slownessAt(now: ComparableTimeMark): Double {
        val all = combine(listOfNotNull(own) + heard.values, now) ?: return 1.0
        return exp(all.logarithm * all.weight / (all.weight + PRIOR_WEIGHT))
    }

    /** Discards everything, as the endpoint has restarted. */
    public fun clear() {
        own = null
        heard.clear()
    }

    private fun combine(parts: List<Learnt>, now: ComparableTimeMark): SpeedSample? {
        val samples = parts.map { it.at(now) }
        val weight = samples.sumOf(SpeedSample::weight)
        if (weight < LEAST_WEIGHT) return null
        return SpeedSample(samples.sumOf { it.logarithm * it.weight } / weight, minOf(weight, LARGEST_WEIGHT))
    }

    private companion object {
        const val HALF = 0.5

        /** Answers for which the mean of the service counts beside those of the endpoint. */
        const val PRIOR_WEIGHT = 2.0
        const val LEAST_WEIGHT = 0.1
        const val LARGEST_WEIGHT = 10_000.0

        /** Above what endpoints of one service differ by; an answer beyond it was late for another reason. */
        const val LARGEST_RATIO = 4.0

        /** Long enough for some answers of an endpoint, short beside the time for which an endpoint runs. */
        val HalfLife = 20.seconds
    }
}
