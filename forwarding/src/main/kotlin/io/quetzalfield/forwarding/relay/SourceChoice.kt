package io.quetzalfield.forwarding.relay

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides whether an instance reads the store itself or is told by a relay.
 *
 * Load pattern: many instances that each read the whole of what they follow cost more calls than the requests they
 * serve are worth; a relay may be killed, paused, slow or cut off from either side at any moment, also right before a
 * change that has to be known everywhere within two seconds. An instance therefore reads for itself as soon as the
 * relay has not shown for [GoodAnswerValidity] that it is current, and stops only after [Settling] of good answers.
 */
internal class SourceChoice {
    private var lastGood: ComparableTimeMark? = null
    private var goodSince: ComparableTimeMark? = null

    /** Notes that the relay was current at [asked], the time of the question. */
    fun noteGood(asked: ComparableTimeMark) {
        val isUnbroken = lastGood?.let { asked - it <= GoodAnswerValidity } ?: false
        if (!isUnbroken) goodSince = asked
        lastGood = maxOf(lastGood ?: asked, asked)
    }

    /** Whether the relay has lately shown that it is current. */
    val isCovered: Boolean get() = lastGood?.let { it.elapsedNow() <= GoodAnswerValidity } ?: false

    /**
     * Whether this instance is to read the store itself now.
     *
     * @param isReading whether it reads the store already.
     */
    fun isReader(isReading: Boolean): Boolean = when {
        !isCovered -> true
        isReading -> goodSince?.let { it.elapsedNow() < Settling } ?: true
        else -> false
    }

    companion object {
        /** Two questions, with the time of an answer; short against the 2 s in which changes must be known. */
        val GoodAnswerValidity: Duration = 700.milliseconds

        /** Time for which a relay must have been good before it is relied on. */
        val Settling: Duration = 1_000.milliseconds

        /** Age of a confirmation above which the instance that reads the store may have lost it. */
        val OldestConfirmation: Duration = 1_500.milliseconds

        /** The same at a relay that is told by another one itself, with the time in which that one finds its source. */
        val OldestPassedConfirmation: Duration = 2_200.milliseconds

        /**
         * Whether [parts] are current enough to rely on the instance that holds them.
         *
         * @param isMate whether that instance is in the own failure domain, where it may be told by another one.
         */
        fun isGood(parts: List<PartCurrency>, isMate: Boolean): Boolean {
            val oldest = if (isMate) OldestPassedConfirmation else OldestConfirmation
            return parts.isNotEmpty() && parts.all { part ->
                !part.isLost && part.confirmedMillisecondsAgo.let { it == null || it.milliseconds <= oldest }
            }
        }
    }
}
