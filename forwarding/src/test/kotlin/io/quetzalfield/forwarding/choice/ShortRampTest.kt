package io.quetzalfield.forwarding.choice

import io.quetzalfield.decision.RolloutObservations
import io.quetzalfield.model.ModelId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import java.util.PriorityQueue
import kotlin.math.pow
import kotlin.random.Random
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Load pattern: a ramp of 15 s at 20 requests per second and four instances, so that few answers are compared. */
class ShortRampTest {
    private fun runs(run: (Random) -> ShortRamp) = (1..RUNS).map { run(Random(it)).apply { run() } }

    /** In EXPOSURE, a version with pauses three times as long was completed, as its answers did not count as slow. */
    @ParameterizedTest
    @CsvSource("3.0, 1.0, 0.01", "8.0, 0.5, 0.1")
    fun `a version that is several times slower is reverted before it gets too many requests`(
        factor: Double,
        slowPart: Double,
        missedPart: Double,
    ) {
        val runs = runs { ShortRamp(it, factor, slowPart) }
        val completed = runs.count { it.phase == RolloutPhase.COMPLETE }
        val exposed = runs.count { it.newRequests > it.requests * ALLOWED_SHARE + ALLOWED_REQUESTS }
        assertTrue(maxOf(completed, exposed) <= RUNS * missedPart, "$completed completed, $exposed exposed of $RUNS")
    }

    /** Endpoints of a new version have cached no prompts, and may interrupt answers more often to read one. */
    @ParameterizedTest
    @ValueSource(doubles = [0.1, 0.2])
    fun `a version as fast as the previous one is completed`(interruptionPart: Double) {
        val reverted = runs { ShortRamp(it, interruptionPart = interruptionPart) }
            .count { it.phase == RolloutPhase.REVERTED }
        assertTrue(reverted <= RUNS / 100, "$reverted of $RUNS reverted")
    }

    private companion object {
        const val RUNS = 400

        /** What a bad version may get of the requests between order and deadline. */
        const val ALLOWED_SHARE = 0.15
        const val ALLOWED_REQUESTS = 30
    }
}

/**
 * A roll-out with answers drawn from [random].
 *
 * @param slowPart part of the new version's answers that are slower by [factor].
 * @param interruptionPart part of the new version's pauses in which the endpoint also reads a prompt.
 */
private class ShortRamp(
    private val random: Random,
    private val factor: Double = 1.0,
    private val slowPart: Double = 0.0,
    private val interruptionPart: Double = INTERRUPTION_PART,
) {
    private class Event(val at: Duration, val action: () -> Unit)

    private val schedule = RolloutSchedule()
    private val paces = List(INSTANCES) { AnswerPace() }
    private val events = PriorityQueue<Event>(compareBy { it.at })
    private var now = -Warmup
    private var share = 0.0
    private var new = RolloutObservations()
    private var previous = RolloutObservations()
    private var published = new to previous

    var phase = RolloutPhase.RUNNING
        private set
    var requests = 0
        private set
    var newRequests = 0
        private set

    private fun at(time: Duration, action: () -> Unit) = events.add(Event(time, action))

    fun run() {
        at(now, ::send)
        at(Duration.ZERO, ::publish)
        at(DutyPeriod * random.nextDouble(), ::work)
        while (now < Ramp) {
            events.remove().let {
                now = it.at
                it.action()
            }
        }
    }

    private fun publish() {
        published = new to previous
        at(now + 1.seconds, ::publish)
    }

    private fun work() {
        if (phase != RolloutPhase.RUNNING) return
        at(now + DutyPeriod, ::work)
        val (ofNew, ofPrevious) = published
        when (val step = schedule.next(now, Ramp, RolloutEvidence(ofNew, ofPrevious), REQUESTS_PER_SECOND, share)) {
            is ScheduledStep.FirstShare -> if (now > schedule.preparation(Ramp)) share = maxOf(share, step.share)
            is ScheduledStep.Share -> share = maxOf(share, step.share)
            is ScheduledStep.Confirm -> error("observations are current in this test")
            is ScheduledStep.Complete -> end(RolloutPhase.COMPLETE, 1.0)
            is ScheduledStep.Revert -> end(RolloutPhase.REVERTED, 0.0)
        }
    }

    private fun end(result: RolloutPhase, resultingShare: Double) {
        phase = result
        share = resultingShare
    }

    private fun send() {
        at(now + (random.nextDouble(2.0) / REQUESTS_PER_SECOND).seconds, ::send)
        val isNew = random.nextDouble() < share
        if (now >= Duration.ZERO) requests++
        if (now >= Duration.ZERO && isNew) newRequests++
        // Attempts that ask a larger model are not classified.
        if (random.nextDouble() < UNCLASSIFIED_PART) return
        Answer(isNew, isCompared = share > 0 && share < 1).start()
    }

    private inner class Answer(private val isNew: Boolean, private val isCompared: Boolean) {
        private val pace = paces.random(random)
        private val key = PaceKey(Routes.random(random), Models.random(random))
        private val pauses = PauseClassifier(pace.longPause(key))
        private val slowness = if (isNew && random.nextDouble() < slowPart) factor else 1.0
        private val isReading = random.nextDouble() < if (now < -Warmup / 2) EARLY_READING_PART else READING_PART
        private var left = random.nextInt(SHORTEST, LONGEST)
        private var isOpen = true

        fun start() {
            val first = ((FIRST_EVENT + random.nextDouble().pow(3)) * slowness).seconds
            at(now + first) {
                pauses.overdueAfter?.let { at(now + it) { if (pauses.isOverdue) count(isSlow = true) } }
                next()
            }
            if (first > Objective) at(now + Objective) { count(isSlow = true) }
        }

        private fun next() {
            val pause = pause()
            at(now + pause) {
                pauses.record(pause)
                if (--left == 0) pauses.end()
                if (pauses.isComplete || pauses.isSlow || left == 0) classify() else next()
            }
        }

        private fun pause(): Duration {
            val part = if (isNew) interruptionPart else INTERRUPTION_PART
            val isInterrupted = isReading || random.nextDouble() < part
            val reading = if (isInterrupted) random.nextDouble(SHORTEST_READING, LONGEST_READING) else 0.0
            return (slowness * (random.nextDouble(SHORTEST_PAUSE, LONGEST_PAUSE) + reading)).milliseconds
        }

        private fun classify() {
            if (isOpen && !isNew) pauses.median?.let { pace.record(key, it) }
            count(pauses.isSlow)
        }

        private fun count(isSlow: Boolean) {
            if (!isOpen) return
            isOpen = false
            if (!isCompared) return
            val one = RolloutObservations(timed = 1, slow = if (isSlow) 1 else 0)
            if (isNew) new += one else previous += one
        }
    }

    private companion object {
        const val INSTANCES = 4
        const val REQUESTS_PER_SECOND = 20.0
        const val UNCLASSIFIED_PART = 0.45
        val Routes = listOf("plan", "diagnosis", "question")
        val Models = listOf(ModelId("small"), ModelId("large"))
        val Ramp = 15.seconds
        val Warmup = 8.seconds
        val DutyPeriod = 840.milliseconds
        val Objective = 2.seconds

        /** Seconds until the first event of an answer whose prompt is cached. */
        const val FIRST_EVENT = 0.05

        /** Milliseconds between two events, and what the reading of a prompt adds. */
        const val SHORTEST_PAUSE = 20.0
        const val LONGEST_PAUSE = 32.0
        const val SHORTEST_READING = 40.0
        const val LONGEST_READING = 300.0
        const val INTERRUPTION_PART = 0.1

        /** Part of the answers that are interrupted in each pause, at the start of the traffic and later. */
        const val EARLY_READING_PART = 0.5
        const val READING_PART = 0.03
        const val SHORTEST = 2
        const val LONGEST = 25
    }
}
