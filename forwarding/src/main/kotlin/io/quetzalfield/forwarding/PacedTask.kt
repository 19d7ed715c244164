package io.quetzalfield.forwarding

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Runs [task] once per [period] when polled more often, and at once while [isUrgent]. Used by one thread at a time.
 *
 * @param isUrgent evaluated at each poll.
 */
internal class PacedTask(
    private val period: Duration,
    private val timeSource: TimeSource.WithComparableMarks,
    private val isUrgent: () -> Boolean,
    private val task: () -> Unit,
) {
    private var lastEnd: ComparableTimeMark? = null

    /** Runs the task if it is due or urgent. */
    fun poll() {
        val isDue = lastEnd?.let { it.elapsedNow() >= period } ?: true
        // Asked in any case, as an urgent request is answered by this run.
        if (!isUrgent() && !isDue) return
        try {
            task()
        } finally {
            lastEnd = timeSource.markNow()
        }
    }
}
