package io.quetzalfield.forwarding.choice

import kotlin.math.exp
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * How busy the endpoints of a service are with reading prompts: the share of them that have prompts to read, smoothed
 * over [smoothing]. Used on the event loop only.
 *
 * Load pattern: a burst of long prompts, or the loss of a failure domain, keeps the endpoints reading. Few requests run
 * at each, so that most of its slots look free, while every answer under way is delayed by each step of reading. A
 * second answer by a larger model then costs others more than it brings.
 */
public class ReadingLoad(
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val smoothing: Duration = Smoothing,
) {
    private var share = 0.0
    private var updatedAt: ComparableTimeMark? = null

    /** Records that [reading] of [total] endpoints have prompts to read now. */
    public fun record(reading: Int, total: Int) {
        val now = timeSource.markNow()
        val elapsed = updatedAt?.let { now - it }
        updatedAt = now
        val current = if (total > 0) reading.toDouble() / total else 0.0
        val weight = if (elapsed == null) 1.0 else 1 - exp(-(elapsed / smoothing))
        share += (current - share) * weight
    }

    /**
     * The load as a fraction of a full pool: 0 up to the share at which prompts hardly wait for each other, 1 where
     * nearly all endpoints read all the time.
     */
    public val occupancy: Double
        get() = ((share - UNDELAYED_SHARE) / (FULL_SHARE - UNDELAYED_SHARE)).coerceIn(0.0, 1.0)

    private companion object {
        /** Time of one long prompt, so that a single one does not count as load. */
        val Smoothing = 500.milliseconds

        /** Share of reading endpoints up to which a new prompt finds one that does not read. */
        const val UNDELAYED_SHARE = 0.5
        const val FULL_SHARE = 0.95
    }
}
