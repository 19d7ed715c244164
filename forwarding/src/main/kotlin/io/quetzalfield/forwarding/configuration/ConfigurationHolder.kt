package io.quetzalfield.forwarding.configuration

import kotlin.time.Clock
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Instant
import kotlin.time.TimeSource

/**
 * The configuration in force. It only moves to higher revisions, and knows when it was last confirmed to be the newest.
 *
 * A process may be paused, and the monotonic clock need not count the pause; the time of day counts it but may step.
 * The age of the confirmation is therefore the larger of both differences: a step of the time of day makes it look too
 * old until the next confirmation, and never too young while the monotonic clock runs.
 */
public class ConfigurationHolder(
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val clock: Clock = Clock.System,
) {
    private class Confirmation(val mark: ComparableTimeMark, val instant: Instant)

    private var confirmation: Confirmation? = null

    /** The newest configuration seen; `null` before the first. */
    public var current: RoutingConfiguration? = null
        private set

    /** Takes [configuration] unless one of the same or a higher revision is in force; says whether it was taken. */
    public fun adopt(configuration: RoutingConfiguration): Boolean {
        val standing = current
        if (standing != null && standing.revision >= configuration.revision) return false
        current = configuration
        return true
    }

    /** Notes that the store confirmed the present configuration by a call that was sent at [mark] and [instant]. */
    public fun confirm(mark: ComparableTimeMark, instant: Instant) {
        val standing = confirmation
        if (standing == null || mark >= standing.mark) confirmation = Confirmation(mark, instant)
    }

    /** Time since the call that last confirmed the configuration was sent; `null` when it never was. */
    public fun age(): Duration? {
        val standing = confirmation ?: return null
        return maxOf(timeSource.markNow() - standing.mark, clock.now() - standing.instant)
    }

    /** Whether the configuration was confirmed within [bound]. */
    public fun isConfirmedWithin(bound: Duration): Boolean = age().let { it != null && it <= bound }
}
