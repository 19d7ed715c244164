package io.quetzalfield.forwarding.relay

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Decides whether an instance that has just started reads everything from the store, or only the list of instances
 * until one of them sends it the rest.
 *
 * Load pattern: all instances are restarted at once, and each would list and watch every part for the seconds in which
 * it finds its relay.
 */
internal class StartPhase(private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic) {
    private val start = timeSource.markNow()
    private var listRead: ComparableTimeMark? = null

    /**
     * Whether this instance must read all parts from the store itself.
     *
     * @param isListRead whether the list of instances has been read.
     * @param hasOthers whether another instance is listed.
     * @param isListed whether this instance is listed.
     * @param hasTarget whether there is an instance to ask.
     */
    fun mustReadAll(isListRead: Boolean, hasOthers: Boolean, isListed: Boolean, hasTarget: Boolean): Boolean {
        if (isListRead && listRead == null) listRead = timeSource.markNow()
        val isAlone = isListRead && !hasOthers
        val isFirst = isListed && !hasTarget
        return isAlone || isFirst || listRead?.let { it.elapsedNow() > Patience } ?: (start.elapsedNow() > ListPatience)
    }

    companion object {
        /** Time for others to answer once the list is read: several queries, short compared with a process's start. */
        val Patience: Duration = 800.milliseconds

        /** Time for the list itself, whose call is the first of a process and the slowest. */
        val ListPatience: Duration = 2_000.milliseconds
    }
}
