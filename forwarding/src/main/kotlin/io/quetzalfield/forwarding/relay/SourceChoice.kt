package io.quetzalfield.forwarding.relay

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides whether an instance reads the store itself or gets its keys from a relay.
 *
 * Load pattern: if each of many instances reads all parts that it follows, the calls to the store cost more than the
 * served requests are worth. A relay may be killed, paused, slow or disconnected on either side at any time, even
 * immediately before a change that all instances must know within two seconds. An instance therefore reads the store as
 * soon as the relay has not shown for [GoodAnswerValidity] that it is current, and stops only after [Settling] of good
 * answers.
 */
internal class SourceChoice {
    private var lastGood: ComparableTimeMark? = null
    private var goodSince: ComparableTimeMark? = null

    /** Records that the relay was current at [asked], the time at which the query was sent. */
    fun recordGoodAnswer(asked: ComparableTimeMark) {
        val isUnbroken = lastGood?.let { asked - it <= GoodAnswerValidity } ?: false
        if (!isUnbroken) goodSince = asked
        lastGood = maxOf(lastGood ?: asked, asked)
    }

    /** Whether the relay has shown within [GoodAnswerValidity] that it is current. */
    val isRelayCurrent: Boolean get() = lastGood?.let { it.elapsedNow() <= GoodAnswerValidity } ?: false

    /**
     * Whether this instance should read the store itself now.
     *
     * @param isReading whether it already reads the store.
     */
    fun isReader(isReading: Boolean): Boolean = when {
        !isRelayCurrent -> true
        isReading -> goodSince?.let { it.elapsedNow() < Settling } ?: true
        else -> false
    }

    companion object {
        /** Two query periods and the time of an answer; short against the 2 s within which changes must be known. */
        val GoodAnswerValidity: Duration = 700.milliseconds

        /** Time for which the answers of a relay must have been good before this instance stops reading the store. */
        val Settling: Duration = 1_000.milliseconds

        /** Age of a confirmation above which the instance that reads the store may have lost it. */
        val ConfirmationAgeLimit: Duration = 1_500.milliseconds

        /** The same for a relay that itself uses a relay; includes the time in which the latter finds its source. */
        val RelayedConfirmationAgeLimit: Duration = 2_200.milliseconds

        /**
         * Whether [parts] are current enough to use the instance that sent them as a relay.
         *
         * @param isSameDomain whether that instance is in the own failure domain, where it may itself use a relay.
         */
        fun isGood(parts: List<PartFreshness>, isSameDomain: Boolean): Boolean {
            val ageLimit = if (isSameDomain) RelayedConfirmationAgeLimit else ConfirmationAgeLimit
            return parts.isNotEmpty() && parts.all { part ->
                !part.isLost && part.confirmedMillisecondsAgo.let { it == null || it.milliseconds <= ageLimit }
            }
        }
    }
}
