package io.quetzalfield.forwarding.configuration

import kotlin.time.Clock
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Instant
import kotlin.time.TimeSource

/**
 * Holds the configuration in force, which only a later one replaces, and the time at which it was last confirmed
 * to be the newest.
 *
 * A process may be paused, and the monotonic clock need not count the pause; the system clock counts it but may step.
 * The age of the confirmation is therefore the larger of both differences: a step of the system clock may make it look
 * too old until the next confirmation, but never too young while the monotonic clock runs.
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

    /** Adopts [configuration] unless the one in force is the same or a later one; returns whether it did. */
    public fun adopt(configuration: RoutingConfiguration): Boolean {
        val previous = current
        if (previous != null && !configuration.isLaterThan(previous)) return false
        current = configuration
        return true
    }

    /** A restored store contains an earlier version, at a later revision, until the operator has written again. */
    private fun RoutingConfiguration.isLaterThan(other: RoutingConfiguration): Boolean {
        val isOfBackup = revision.era > other.revision.era && version < other.version
        return revision > other.revision && !isOfBackup
    }

    /** Records that the store confirmed the current configuration in a call sent at [mark] and [instant]. */
    public fun confirm(mark: ComparableTimeMark, instant: Instant) {
        val previous = confirmation
        if (previous == null || mark >= previous.mark) confirmation = Confirmation(mark, instant)
    }

    /** Time since the call that last confirmed the configuration was sent; `null` when it never was. */
    public fun age(): Duration? {
        val last = confirmation ?: return null
        return maxOf(timeSource.markNow() - last.mark, clock.now() - last.instant)
    }

    /** Whether the configuration was confirmed within [bound]. */
    public fun isConfirmedWithin(bound: Duration): Boolean = age().let { it != null && it <= bound }
}
