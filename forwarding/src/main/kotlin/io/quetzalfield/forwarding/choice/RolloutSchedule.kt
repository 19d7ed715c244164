package io.quetzalfield.forwarding.choice

import io.quetzalfield.decision.ExpectedRates
import io.quetzalfield.decision.RolloutObservations
import io.quetzalfield.decision.RolloutTest
import io.quetzalfield.decision.RolloutVerdict
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What the holder of the duty does with a roll-out now. */
public sealed interface ScheduledStep {
    /** Gives the new version a first [share], which stays as it is until the next one; 0 until it can be told. */
    public data class FirstShare(val share: Double) : ScheduledStep

    /** Gives the new version [share] of the sessions. */
    public data class Share(val share: Double) : ScheduledStep

    /** Ends the roll-out: the new version gets everything. */
    public data object Complete : ScheduledStep

    /** Takes the new version back, for [reason]. */
    public data class Revert(val reason: String) : ScheduledStep
}

/**
 * When a roll-out gives how much to the new version.
 *
 * Load pattern: a bad version fails at once, late, under load or on one route only, and may get only a small part of
 * all requests between order and deadline. It therefore stays at a small share for the first half, in which sessions
 * must not change sides either, then grows in two steps, and completes with time to spare. At much traffic the first
 * share is smaller: the judgement needs no more answers than at little traffic. No more is given while there is
 * doubt, which takes less evidence than to take the version back at once.
 */
public class RolloutSchedule(private val test: RolloutTest = RolloutTest()) {
    /**
     * The step at [elapsed] after the order of a roll-out that shall last [ramp].
     *
     * @param requestsPerSecond requests for the service at all instances.
     * @param share the share that the new version has.
     */
    public fun next(
        elapsed: Duration,
        ramp: Duration,
        new: RolloutObservations,
        baseline: RolloutObservations,
        requestsPerSecond: Double,
        share: Double = 0.0,
    ): ScheduledStep {
        val verdict = test.judge(new, baseline, Expected)
        val doubt = RolloutDoubt.of(new, baseline)
        val isUnknown = doubt != null || new.timed < FEWEST_TIMED
        val partial = ScheduledStep.Share(if (doubt == null) PARTIAL_SHARE else share)
        val isEnding = ramp - elapsed < completionMargin(ramp)
        val progress = elapsed / ramp
        return when {
            verdict is RolloutVerdict.Harmful -> ScheduledStep.Revert("worse by ${verdict.cause.name.lowercase()}")

            progress < CANARY_END -> ScheduledStep.FirstShare(firstShare(requestsPerSecond, progress))

            progress < PARTIAL_END -> partial

            progress < LATEST_PARTIAL_END && isUnknown && share < 1 -> partial

            doubt != null && (share < 1 || isEnding) ->
                ScheduledStep.Revert("doubtful by ${doubt.name.lowercase()}")

            isEnding -> ScheduledStep.Complete

            else -> ScheduledStep.Share(1.0)
        }
    }

    /** Time between the announcement of the first share and its gift, in which instances tell of their sessions. */
    public fun preparation(ramp: Duration): Duration = minOf(LongestPreparation, ramp * PREPARATION_PART)

    private fun firstShare(requestsPerSecond: Double, progress: Double): Double = when {
        requestsPerSecond <= 0 && progress < TRAFFIC_AWAITED -> 0.0
        requestsPerSecond * CANARY_SHARE <= CANARY_RATE -> CANARY_SHARE
        else -> CANARY_RATE / requestsPerSecond
    }

    private fun completionMargin(ramp: Duration) = minOf(CompletionMargin, ramp * COMPLETION_PART)

    private companion object {
        /** Requests a second that show a version which fails or slows half of them, within a few seconds. */
        const val CANARY_RATE = 5.0

        /** Over a first half, two thirds of the part of requests that a bad version may get over a whole roll-out. */
        const val CANARY_SHARE = 0.15

        /** A step at which faults that only load shows become visible. */
        const val PARTIAL_SHARE = 0.3

        /** Past the first half, in which a session must not change its version. */
        const val CANARY_END = 0.55

        /** Leaves the partial share about as long as a request lasts. */
        const val PARTIAL_END = 0.7

        /** Few answers of a healthy version take several times the usual pause, or start after their objective. */
        val Expected = ExpectedRates(slowRate = 0.02)

        /** Until then the partial share is kept if the version is doubtful or little is known of its speed. */
        const val LATEST_PARTIAL_END = 0.8

        /** Judged answers that show a version which answers half of its requests several times slower. */
        const val FEWEST_TIMED = 30

        /** Part of the ramp for which a first share waits for traffic by which to tell it. */
        const val TRAFFIC_AWAITED = 0.2

        /** Two periods of the messages between instances. */
        val LongestPreparation = 2.seconds
        const val PREPARATION_PART = 0.15

        /** Two periods of the duty, with the calls of the store that complete a roll-out and report it. */
        val CompletionMargin = 2.seconds
        const val COMPLETION_PART = 0.15
    }
}
