package io.quetzalfield.decision

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes

/** The next action on a roll-out. */
public sealed interface RolloutAction {
    /** Keep the current share. */
    public data object Stay : RolloutAction

    /** Give the version [share] of the model's new sessions. */
    public data class Advance(val share: Double) : RolloutAction

    /** Give the version no new work: it is worse than the version before it. */
    public data class Stop(val harm: RolloutVerdict.Harmful) : RolloutAction

    /** Give the version no new sessions: the step did not get enough ratings in time. */
    public data object RollBack : RolloutAction
}

/**
 * Progress of a roll-out.
 *
 * @property share share of the model's new sessions that the version gets, from 0 to 1.
 * @property stepAge time since the current step began.
 * @property ratedInStep number of ratings of the version since the step began.
 */
public data class RolloutProgress(val share: Double, val stepAge: Duration, val ratedInStep: Long)

/**
 * The steps of a roll-out. A step ends when it has lasted [shortestStep] and the version has got [ratingsPerStep]
 * ratings in it. A step that lasts [longestStep] without them is rolled back, even if another process holds the duty by
 * then. At a share of 1 the version stays under test until the operators clear its share.
 *
 * @property shares shares of new sessions in ascending order, from 0 to 1.
 * @throws IllegalArgumentException if [shares] is empty, not in ascending order or not from 0 to 1.
 */
public data class RolloutPlan(
    val shares: List<Double> = DefaultShares,
    val ratingsPerStep: Long = 50,
    val shortestStep: Duration = 5.minutes,
    val longestStep: Duration = 24.hours,
) {
    init {
        require(shares.isNotEmpty() && shares == shares.sorted()) { "shares are $shares; allowed: ascending shares" }
        require(shares.all { it in 0.0..1.0 }) { "shares are $shares; allowed: 0 to 1" }
    }

    /** The action for [progress] and [verdict]. A share of 0 means that the roll-out was rolled back; it stays at 0. */
    public fun next(progress: RolloutProgress, verdict: RolloutVerdict): RolloutAction = when {
        verdict is RolloutVerdict.Harmful -> RolloutAction.Stop(verdict)

        progress.share <= 0.0 -> RolloutAction.Stay

        progress.ratedInStep >= ratingsPerStep && progress.stepAge >= shortestStep -> advance(progress.share)

        progress.ratedInStep < ratingsPerStep && progress.stepAge >= longestStep && progress.share < 1.0 ->
            RolloutAction.RollBack

        else -> RolloutAction.Stay
    }

    private fun advance(share: Double): RolloutAction =
        shares.firstOrNull { it > share }?.let { RolloutAction.Advance(it) } ?: RolloutAction.Stay

    public companion object {
        /** Shares that expose few callers to a version until its first ratings have arrived. */
        public val DefaultShares: List<Double> = listOf(0.05, 0.1, 0.25, 0.5, 1.0)
    }
}
