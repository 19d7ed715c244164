package io.quetzalfield.forwarding.choice

import io.quetzalfield.forwarding.endpoints.Endpoint
import kotlin.math.pow
import kotlin.random.Random
import kotlin.time.ComparableTimeMark

/**
 * Chooses the endpoint at which the answer is expected to start first, where endpoints state how long work takes there;
 * elsewhere [even] chooses.
 *
 * Load pattern: endpoints differ in speed, and many instances with late knowledge see the same endpoint free. A request
 * of a model engine goes to the best of the homes of its shared part and a few endpoints drawn at random, so that the
 * instances do not meet; one of a plain service is drawn by the expected time.
 *
 * @param readWeight cost of reading a prompt token in relation to waiting for one.
 */
public class ExpectedStartPlacement(
    private val estimates: AnswerTimeEstimates,
    private val random: Random = Random.Default,
    private val readWeight: Int = 1,
    private val even: EndpointPlacement = LeastWorkPlacement(random, readWeight),
) : EndpointPlacement {
    override fun choose(work: Work, candidates: List<Endpoint>, now: ComparableTimeMark): Placement? {
        val usable = candidates.withoutAvoided(now)
        return when {
            usable.none(Endpoint::statesTimeFactor) -> even.choose(work, candidates, now)
            work.model == null -> drawByTime(work, usable, now)
            else -> bestOfFew(work, usable, now)
        }
    }

    private fun drawByTime(work: Work, usable: List<Endpoint>, now: ComparableTimeMark): Placement {
        val placements = usable.map { place(work, it, isHome = false, now) }
        val weights = placements.map { (it.work * it.endpoint.slownessAt(now)).pow(-SHARPNESS) }
        var position = random.nextDouble() * weights.sum()
        val drawn = placements.indices.firstOrNull { index ->
            position -= weights[index]
            position < 0
        }
        return placements[drawn ?: placements.lastIndex]
    }

    private fun bestOfFew(work: Work, usable: List<Endpoint>, now: ComparableTimeMark): Placement {
        val homes = estimates.homes.of(work, usable, now)
        val others = (usable - homes.toSet()).shuffled(random).take(DRAWN)
        val placements = homes.map { place(work, it, isHome = true, now) } +
            others.map { place(work, it, isHome = false, now) }
        return placements.minBy { cost(it, now) }
    }

    private fun place(work: Work, endpoint: Endpoint, isHome: Boolean, now: ComparableTimeMark): Placement {
        val tokens = estimates.tokensToRead(work, endpoint, isHome)
        return Placement(endpoint, tokens, estimates.expect(work, endpoint, tokens, now))
    }

    /** Expected start, and the delay of the requests there by reading the prompt, in units of work. */
    private fun cost(placement: Placement, now: ComparableTimeMark): Double {
        val running = WaitingWork.runningAt(placement.endpoint, now)
        val harm = placement.tokensToRead * (readWeight - 1 + running * HARM)
        return (placement.work + harm) * placement.endpoint.slownessAt(now)
    }

    private val Placement.work: Double get() = checkNotNull(expected) { "a placement without expectation" }.work

    private companion object {
        /** Endpoints drawn besides the homes: few enough that many instances draw different ones. */
        const val DRAWN = 2

        /** An endpoint that takes twice as long gets an eighth of the calls. */
        const val SHARPNESS = 3

        /** Weight of the delay of one running request. */
        const val HARM = 0.02
    }
}
