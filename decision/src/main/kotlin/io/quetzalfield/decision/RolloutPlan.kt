package io.quetzalfield.decision

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes

/** What to do with a roll-out now. */
public sealed interface RolloutAction {
    /** Stay at the present share. */
    public data object Stay : RolloutAction

    /** Give the version [share] of the model's new sessions. */
    public data class Advance(val share: Double) : RolloutAction

    /** Give the version nothing new: it is worse than the one before. */
    public data class Stop(val harm: RolloutVerdict.Harmful) : RolloutAction

    /** Give the version no new sessions: the step has not brought enough ratings in time. */
    public data object RollBack : RolloutAction
}

/**
 * Where a roll-out stands.
 *
 * @property share share of the model's new sessions that the version gets.
 * @property stepAge time since the present step began.
 * @property ratedInStep ratings of the version that came since the step began.
 */
public data class RolloutProgress(val share: Double, val stepAge: Duration, val ratedInStep: Long)

/**
 * The steps of a roll-out. A step ends after [shortestStep] with [ratingsPerStep] ratings; a step that lasts
 * [longestStep] without them is rolled back, whoever holds the duty by then. At a share of 1 the version stays under
 * test until the operators clear its share.
 *
 * @property shares shares of new sessions, growing, from 0 to 1.
 */
public data class RolloutPlan(
    val shares: List<Double> = DefaultShares,
    val ratingsPerStep: Long = 50,
    val shortestStep: Duration = 5.minutes,
    val longestStep: Duration = 24.hours,
) {
    init {
        require(shares.isNotEmpty() && shares == shares.sorted()) { "shares are $shares; allowed: growing shares" }
        require(shares.all { it in 0.0..1.0 }) { "shares are $shares; allowed: 0 to 1" }
    }

    /** What to do at [progress] when the test says [verdict]. A share of 0 was rolled back and stays so. */
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
        /** Steps that show a version to few callers until its first ratings have come. */
        public val DefaultShares: List<Double> = listOf(0.05, 0.1, 0.25, 0.5, 1.0)
    }
}
