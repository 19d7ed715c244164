package io.quetzalfield.forwarding.choice

import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.model.ModelId
import io.quetzalfield.model.ServiceId
import kotlin.math.exp
import kotlin.math.ln
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * When an answer is expected to start, as known when its request was sent.
 *
 * @property start time from then until the first event, or the whole answer of a plain service; zero if not known yet.
 * @property work work before the start, in prompt tokens or in calls, at an endpoint of the mean speed.
 */
public data class StartExpectation(
    val endpoint: Endpoint,
    val model: ModelId?,
    val start: Duration,
    internal val work: Double,
)

/**
 * Estimates when answers start, from the work before them and the speed learnt from earlier answers. Used on the event
 * loop only.
 *
 * Load pattern: endpoints differ in speed, share their machines with others, and the work that is known to be there is
 * late and incomplete. How long a unit of work takes is therefore learnt for each service and model from what was known
 * when the requests were sent, so that work that is regularly unknown is contained in it; the speed of each endpoint is
 * learnt in relation to that.
 */
public class AnswerTimeEstimates : AnswerTimes {
    private data class Key(val service: ServiceId, val model: ModelId?)

    /** Logarithm of milliseconds, learnt from [answers] answers. */
    private class UnitTime(var logarithm: Double, var answers: Int)

    /** Logarithm of the milliseconds from the start to the end of an answer, at the mean speed. */
    private val lengths = HashMap<Key, UnitTime>()

    /** Logarithm of the milliseconds that a unit of work takes, at the mean speed. */
    private val unitTimes = HashMap<Key, UnitTime>()
    internal val homes: PartHomes = PartHomes()

    override fun expectedStart(work: Work, endpoint: Endpoint, now: ComparableTimeMark): Duration =
        expect(work, endpoint, tokensToRead(work, endpoint, homes.isHome(work, endpoint)), now).start

    /** Returns the time until the answer to [work] is expected to end at [endpoint]; zero while too little is known. */
    public fun expectedEnd(work: Work, endpoint: Endpoint, now: ComparableTimeMark): Duration {
        val length = lengths[Key(endpoint.description.service, work.model)]?.takeIf { it.answers >= LEAST_ANSWERS }
            ?: return Duration.ZERO
        return expectedStart(work, endpoint, now) + (exp(length.logarithm) * endpoint.slownessAt(now)).milliseconds
    }

    /** Records that an answer ended [after] its start. */
    public fun recordEnd(expectation: StartExpectation, after: Duration, now: ComparableTimeMark) {
        val key = Key(expectation.endpoint.description.service, expectation.model)
        val milliseconds = after.toDouble(DurationUnit.MILLISECONDS).coerceAtLeast(SHORTEST_MILLISECONDS)
        val measured = ln(milliseconds / expectation.endpoint.speed.slownessAt(now))
        val length = lengths.getOrPut(key) { UnitTime(measured, answers = 0) }
        length.answers++
        length.logarithm += (measured - length.logarithm).coerceIn(-LARGEST_ERROR, LARGEST_ERROR) /
            minOf(length.answers, MOST_ANSWERS)
    }

    /** Returns when an answer to [work] is expected to start at [endpoint], which reads [tokensToRead] for it. */
    internal fun expect(work: Work, endpoint: Endpoint, tokensToRead: Int, now: ComparableTimeMark): StartExpectation {
        val units = unitsBefore(work, endpoint, tokensToRead, now)
        val unitTime = unitTimes[Key(endpoint.description.service, work.model)]
        val start = if (unitTime == null || unitTime.answers < LEAST_ANSWERS) {
            Duration.ZERO
        } else {
            (units * exp(unitTime.logarithm) * endpoint.slownessAt(now)).milliseconds
        }
        return StartExpectation(endpoint, work.model, start, units)
    }

    /** Records that an answer started [after] its request was sent, and learns from it. */
    public fun record(expectation: StartExpectation, after: Duration, now: ComparableTimeMark) {
        val endpoint = expectation.endpoint
        val key = Key(endpoint.description.service, expectation.model)
        val milliseconds = after.toDouble(DurationUnit.MILLISECONDS).coerceAtLeast(SHORTEST_MILLISECONDS)
        val measured = ln(milliseconds / expectation.work)
        val unitTime = unitTimes.getOrPut(key) { UnitTime(measured, answers = 0) }
        val ratio = measured - unitTime.logarithm
        val error = (ratio - ln(endpoint.speed.slownessAt(now))).coerceIn(-LARGEST_ERROR, LARGEST_ERROR)
        unitTime.answers++
        unitTime.logarithm += error / minOf(unitTime.answers, MOST_ANSWERS)
        if (unitTime.answers >= LEAST_ANSWERS) endpoint.speed.record(exp(ratio), now)
        // What is stated with the answer is a second sample, free of the errors of the expected work.
        endpoint.load?.timeFactor?.let { endpoint.speed.record(it, now) }
    }

    internal fun tokensToRead(work: Work, endpoint: Endpoint, isHome: Boolean): Int {
        val model = work.model ?: return 0
        val unread = endpoint.cachedParts.unreadTokens(model, work.prompt)
        return if (isHome) minOf(unread, work.prompt.last().tokens) else unread
    }

    /** Work before the start of an answer: prompt tokens of model engines, calls of plain services. */
    private fun unitsBefore(work: Work, endpoint: Endpoint, tokensToRead: Int, now: ComparableTimeMark): Double =
        if (work.model != null) {
            (LEAST_TOKENS + tokensToRead + WaitingWork.tokensAt(endpoint, now)).toDouble()
        } else {
            callsBefore(endpoint, now)
        }

    /** The call itself, its part of the machine beside others, and those that wait for a slot before it. */
    private fun callsBefore(endpoint: Endpoint, now: ComparableTimeMark): Double {
        val slots = endpoint.description.capacity.coerceAtLeast(1)
        val running = WaitingWork.runningAt(endpoint, now)
        val waiting = WaitingWork.waitingAt(endpoint, running + 1, now)
        return 1 + (minOf(running, slots) * CROWDING + waiting) / slots
    }

    private companion object {
        /** Prompt tokens that are read in the time that an answer takes besides reading. */
        const val LEAST_TOKENS = 500

        /** Part of a call's time by which it is longer when all slots but one are in use. */
        const val CROWDING = 0.3

        /** Answers from which the time of a unit is known well enough to expect something from it. */
        const val LEAST_ANSWERS = 3

        /** Answers after which older ones lose weight. */
        const val MOST_ANSWERS = 40

        /** Logarithm of the largest error that counts in full; larger ones have other reasons. */
        const val LARGEST_ERROR = 1.1
        const val SHORTEST_MILLISECONDS = 0.5
    }
}
