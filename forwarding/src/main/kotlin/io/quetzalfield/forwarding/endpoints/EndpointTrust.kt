package io.quetzalfield.forwarding.endpoints

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What an instance tells the others about an endpoint that has failed calls. */
public enum class TrustChange {
    /** A call has failed there. */
    FAILED,

    /** A call was sent there to find out whether it still fails. */
    TRIED,

    /** A call that was sent after the failures was answered there. */
    ANSWERED,
}

/**
 * The turn of this instance among those that share an endpoint.
 *
 * @property rank place in their order, 0 for the first.
 * @property sharers number of them, with this one.
 */
public data class TrialTurn(val rank: Int = 0, val sharers: Int = 1)

/**
 * Decides when an endpoint gets work again that has failed its last calls.
 *
 * Load pattern: some endpoints of a service fail each call at once for some seconds. They look empty, as nothing stays
 * there, so that each of many instances would send to them again and again. After a failure the endpoint gets one call
 * at a time, after a pause that doubles with each failure in a row. What several instances have met they find out
 * together: they try in turn, and the first good answer at one of them ends it for all. An instance that has had an
 * answer itself a moment ago goes by that, as others may fail by their link to the endpoint.
 *
 * Used by one thread, such as an event loop.
 */
public class EndpointTrust(
    private val turn: () -> TrialTurn = { TrialTurn() },
    private val onChange: (TrustChange) -> Unit = {},
) {
    private var ownFailures = 0
    private var toldFailures = 0

    /** Failures in a row, those of several instances at one time counted once. */
    private var rounds = 0
    private var lastFailedAt: ComparableTimeMark? = null
    private var answeredAt: ComparableTimeMark? = null
    private var toldAt: ComparableTimeMark? = null

    /** Time before which the endpoint gets no new work; `null` if it has not failed since the last good answer. */
    public var avoidedUntil: ComparableTimeMark? = null
        private set

    /** Whether the next call is a trial. An endpoint that was never used is not suspect. */
    public val isSuspect: Boolean get() = ownFailures > 0 || toldFailures >= TOLD_FAILURES

    /**
     * Whether calls that may not be repeated go elsewhere at [now]. They are the trial where for a while no other call
     * was one, as the endpoint would otherwise never return.
     */
    public fun isDoubtfulAt(now: ComparableTimeMark): Boolean =
        isSuspect && avoidedUntil.let { it != null && now < it + TrialByOthers }

    /** Records a failure of a call of this instance at [now], which the others are told of if it [isShared]. */
    public fun recordFailure(now: ComparableTimeMark, isShared: Boolean = true) {
        ownFailures++
        rounds++
        lastFailedAt = now
        avoidedUntil = now + pause()
        if (!isShared || toldAt.let { it != null && now - it < TellPause }) return
        toldAt = now
        onChange(TrustChange.FAILED)
    }

    /** Records that a call is sent at [now]: while the endpoint is suspect no other one is sent until its outcome. */
    public fun recordSend(now: ComparableTimeMark) {
        if (!isSuspect || avoidedUntil.let { it != null && it > now }) return
        avoidedUntil = now + TrialTime
        if (toldAt != null || toldFailures > 0) onChange(TrustChange.TRIED)
    }

    /** Records the answer to a call that was sent at [sentAt]; one sent before the last failure is no proof. */
    public fun recordAnswer(sentAt: ComparableTimeMark?) {
        if (sentAt != null && lastFailedAt.let { it != null && sentAt < it }) return
        answeredAt = sentAt ?: answeredAt
        val isNews = isSuspect && (toldAt != null || toldFailures > 0)
        clear()
        if (isNews) onChange(TrustChange.ANSWERED)
    }

    /** Adds what another instance has found at [at]. */
    public fun learn(change: TrustChange, at: ComparableTimeMark, now: ComparableTimeMark) {
        when (change) {
            TrustChange.FAILED -> learnFailure(at)
            TrustChange.TRIED -> if (isSuspect) avoidUntil(at + TrialTime + Stagger * turn().rank)
            TrustChange.ANSWERED -> learnAnswer(at, now)
        }
    }

    private fun learnFailure(at: ComparableTimeMark) {
        if (answeredAt.let { it != null && at - it < OwnEvidence }) return
        val sinceLast = lastFailedAt?.let { at - it }
        if (!isSuspect && sinceLast != null && sinceLast >= Recent) clear()
        toldFailures++
        if (sinceLast == null || sinceLast >= SameRound) rounds++
        lastFailedAt = maxOf(lastFailedAt ?: at, at)
        if (isSuspect) avoidUntil(at + pause())
    }

    /** What this instance has met itself it tries itself, too. */
    private fun learnAnswer(at: ComparableTimeMark, now: ComparableTimeMark) {
        if (lastFailedAt.let { it == null || at < it }) return
        toldFailures = 0
        if (ownFailures > 0) avoidedUntil = now else clear()
    }

    private fun avoidUntil(time: ComparableTimeMark) {
        avoidedUntil = maxOf(avoidedUntil ?: time, time)
    }

    private fun pause(): Duration {
        val alone = FailurePause * (1 shl (rounds - 1).coerceIn(0, MAXIMUM_DOUBLINGS))
        if (toldFailures == 0) return alone
        val current = turn()
        return maxOf(FailurePause, alone / current.sharers.coerceIn(1, MAXIMUM_SHARES)) + Stagger * current.rank
    }

    /** Forgets all failures. */
    public fun clear() {
        ownFailures = 0
        toldFailures = 0
        rounds = 0
        lastFailedAt = null
        toldAt = null
        avoidedUntil = null
    }

    private companion object {
        /** Failures of others, without an answer since, by which an endpoint is suspect that has failed no own call. */
        const val TOLD_FAILURES = 2

        /** About the time until the entry of a crashed process shows its end, or the process is restarted. */
        val FailurePause = 500.milliseconds
        const val MAXIMUM_DOUBLINGS = 3

        /** Instances that together try as often as one alone would at first. */
        const val MAXIMUM_SHARES = 4

        /** Time from one instance's turn to the next one's: an answer of the usual length and the news of it. */
        val Stagger = 100.milliseconds

        /** Time in which a trial has an outcome; the next one does not wait for longer. */
        val TrialTime = 1.seconds

        /** Time for which only calls that may be repeated are the trial. */
        val TrialByOthers = 2.seconds

        /** Failures of several instances within this time have one cause. */
        val SameRound = 300.milliseconds

        /** Time for which single failures that others tell of count together. */
        val Recent = 2.seconds

        /** Time for which an answer to this instance counts more than what others tell. */
        val OwnEvidence = 1.seconds

        /** Shortest time between two reports of failures at one endpoint. */
        val TellPause = 300.milliseconds
    }
}
