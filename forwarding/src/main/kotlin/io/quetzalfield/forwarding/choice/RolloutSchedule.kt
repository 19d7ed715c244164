package io.quetzalfield.forwarding.choice

import io.quetzalfield.decision.ExpectedRates
import io.quetzalfield.decision.RolloutObservations
import io.quetzalfield.decision.RolloutTest
import io.quetzalfield.decision.RolloutVerdict
import io.quetzalfield.decision.StopCause
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Next action of the holder of the duty on a roll-out. */
public sealed interface ScheduledStep {
    /** Gives the new version a first [share] that stays constant until the next step; 0 until it can be computed. */
    public data class FirstShare(val share: Double) : ScheduledStep

    /** Gives the new version [share] of the sessions. */
    public data class Share(val share: Double) : ScheduledStep

    /** Keeps the share until the instances have stored what they observe, as known observations may be incomplete. */
    public data object Confirm : ScheduledStep

    /** Completes the roll-out: the new version gets all requests. */
    public data object Complete : ScheduledStep

    /** Reverts the roll-out, because of [reason]. */
    public data class Revert(val reason: String) : ScheduledStep
}

/**
 * Determines the share of the new version in the course of a roll-out.
 *
 * Load pattern: a bad version fails immediately, late, under load or on one route only, and may get only a small part
 * of all requests between order and deadline. The new version therefore keeps a small share for the first half, in
 * which sessions must not change versions either, then the share grows in two steps, and the roll-out completes with
 * time to spare. With much traffic the first share is smaller, as the test needs no more answers than with little.
 * The share does not grow while there is doubt, which needs less evidence than an immediate revert.
 *
 * Completion is final, as the previous version's endpoints are stopped. It therefore requires proof: current
 * observations of all instances, in which the version answers well under the full share. While the store is unavailable
 * the time of the roll-out goes on without observations. A version that is not proven at the end of its time keeps its
 * share for another ramp at most, and is then reverted, which the operator can repeat with another order.
 */
public class RolloutSchedule(private val test: RolloutTest = RolloutTest()) {
    /**
     * Returns the step at [elapsed] after the order of a roll-out that is to take [ramp].
     *
     * @param requestsPerSecond requests for the service at all instances.
     * @param share the current share of the new version.
     */
    public fun next(
        elapsed: Duration,
        ramp: Duration,
        evidence: RolloutEvidence,
        requestsPerSecond: Double,
        share: Double = 0.0,
    ): ScheduledStep {
        val verdict = test.evaluate(evidence.new, evidence.baseline, Expected)
        val progress = elapsed / ramp
        val isEnding = ramp - elapsed < completionMargin(ramp)
        val isBusy = requestsPerSecond * ramp.inWholeSeconds >= PROVING_REQUESTS
        val doubt = RolloutDoubt.of(evidence.new, evidence.baseline)
        return when {
            verdict is RolloutVerdict.Harmful -> ScheduledStep.Revert("worse by ${verdict.cause.name.lowercase()}")
            progress < CANARY_END -> ScheduledStep.FirstShare(firstShare(requestsPerSecond, progress))
            doubt != null -> afterDoubt(doubt, progress, share, isEnding)
            !evidence.isCurrent -> awaitConfirmation(progress)
            share >= 1 && isEnding && evidence.isSufficient(isBusy) -> ScheduledStep.Complete
            progress >= LATEST_END -> ScheduledStep.Revert("not proven sound")
            else -> shareAfterFirst(evidence, progress, share, isBusy)
        }
    }

    private fun awaitConfirmation(progress: Double): ScheduledStep =
        if (progress < LATEST_END) ScheduledStep.Confirm else ScheduledStep.Revert("not confirmed")

    private fun shareAfterFirst(evidence: RolloutEvidence, progress: Double, share: Double, isBusy: Boolean) = when {
        !evidence.isNotAdverse -> ScheduledStep.Share(share)
        progress < PARTIAL_END -> ScheduledStep.Share(PARTIAL_SHARE)
        evidence.isUnanswered && isBusy -> awaitAnswers(progress, share, evidence.stepAge)
        share < 1 -> beforeFullShare(evidence, progress, share, isBusy)
        else -> ScheduledStep.Share(1.0)
    }

    private fun afterDoubt(doubt: StopCause, progress: Double, share: Double, isEnding: Boolean): ScheduledStep = when {
        progress < LATEST_PARTIAL_END && share < 1 -> ScheduledStep.Share(share)
        share < 1 || isEnding -> ScheduledStep.Revert("doubtful by ${doubt.name.lowercase()}")
        else -> ScheduledStep.Share(1.0)
    }

    private fun awaitAnswers(progress: Double, share: Double, stepAge: Duration): ScheduledStep {
        val isOver = progress >= 1 && stepAge >= AnswerWait
        return if (isOver) ScheduledStep.Revert("without answers") else ScheduledStep.Share(maxOf(share, PARTIAL_SHARE))
    }

    private fun beforeFullShare(
        evidence: RolloutEvidence,
        progress: Double,
        share: Double,
        isBusy: Boolean,
    ): ScheduledStep {
        val isTimed =
            progress >= LATEST_PARTIAL_END || evidence.new.timed >= MINIMUM_TIMED || evidence.isSpeedProof
        val isLikely = when {
            !isBusy -> true
            share < PARTIAL_SHARE -> evidence.isProof && evidence.isSpeedLikelySound
            else -> evidence.allowsFullShare
        }
        return ScheduledStep.Share(if (isTimed && isLikely) 1.0 else PARTIAL_SHARE)
    }

    /**
     * A service with few requests can not give proof in the time of a roll-out. Whether it has few is known only after
     * a while, as the holder of the duty may just have started.
     */
    private fun RolloutEvidence.isSufficient(isBusy: Boolean) =
        isProof || (!isBusy && isLikelySound && stepAge >= AnswerWait)

    private val RolloutEvidence.isUnanswered get() = new == RolloutObservations() && baseline.answers > 0

    /** Time from the announcement of the first share until it applies, in which instances exchange their sessions. */
    public fun preparation(ramp: Duration): Duration = minOf(LongestPreparation, ramp * PREPARATION_PART)

    private fun firstShare(requestsPerSecond: Double, progress: Double): Double = when {
        requestsPerSecond <= 0 && progress < TRAFFIC_WAIT_PART -> 0.0
        requestsPerSecond * CANARY_SHARE <= CANARY_RATE -> CANARY_SHARE
        else -> CANARY_RATE / requestsPerSecond
    }

    private fun completionMargin(ramp: Duration) = minOf(CompletionMargin, ramp * COMPLETION_PART)

    private companion object {
        /** Requests per second that reveal, within a few seconds, a version which fails or slows half of them. */
        const val CANARY_RATE = 5.0

        /** Over the first half, two thirds of the part of requests that a bad version may get over a whole roll-out. */
        const val CANARY_SHARE = 0.15

        /** Enough to reveal faults that appear only under load. */
        const val PARTIAL_SHARE = 0.3

        /** Past the first half, in which a session must not change its version. */
        const val CANARY_END = 0.55

        /** Keeps the partial share for about as long as a request lasts. */
        const val PARTIAL_END = 0.7

        /** Few answers of a healthy version have pauses several times the usual one, or start after their objective. */
        val Expected = ExpectedRates(slowRate = 0.02)

        /** Until then the partial share is kept if the version is doubtful or too few of its answers are timed. */
        const val LATEST_PARTIAL_END = 0.8

        /** Timed answers that reveal a version which answers half of its requests several times slower. */
        const val MINIMUM_TIMED = 30

        /** Requests for the service in one ramp of which the partial share contains some, practically always. */
        const val PROVING_REQUESTS = 100

        /** Until then a version that is not proven keeps its share, as an outage may last past the ramp. */
        const val LATEST_END = 2.0

        /** After an outage, the version may get its first requests only at the end of the ramp. */
        val AnswerWait = 3.seconds

        /** Part of the ramp for which the first share waits until the rate of requests is known. */
        const val TRAFFIC_WAIT_PART = 0.2

        /** Two periods of the messages between instances. */
        val LongestPreparation = 2.seconds
        const val PREPARATION_PART = 0.15

        /** Two periods of the duty, with the store calls that complete a roll-out and report it. */
        val CompletionMargin = 2.seconds
        const val COMPLETION_PART = 0.15
    }
}
