package io.quetzalfield.forwarding.endpoints

import io.quetzalfield.model.Incarnation
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Load of the other instances at one endpoint, by the last report of each. A report is dropped once its instance has
 * been silent for [validity], as the instance has ended or is cut off.
 */
public class PeerLoads(private val validity: Duration = Validity) {
    private class Report(val running: Int, val unreadTokens: Long, val at: ComparableTimeMark)

    private val reports = HashMap<Incarnation, Report>()

    /** Sets the report of [peer] of [at]: its requests at the endpoint, and their prompt tokens to be read. */
    public fun update(peer: Incarnation, running: Int, unreadTokens: Long, at: ComparableTimeMark) {
        if (running == 0 && unreadTokens == 0L) {
            reports.remove(peer)
        } else {
            reports[peer] = Report(running, unreadTokens, at)
        }
    }

    /** Requests of other instances at the endpoint. */
    public fun runningAt(now: ComparableTimeMark): Int = valid(now).sumOf(Report::running)

    /** Prompt tokens of other instances' requests that the endpoint still has to read. */
    public fun unreadTokensAt(now: ComparableTimeMark): Long = valid(now).sumOf(Report::unreadTokens)

    /** Requests of [peers] at the endpoint. */
    public fun runningAt(now: ComparableTimeMark, peers: Set<Incarnation>): Int =
        validOf(now, peers).sumOf(Report::running)

    /** Prompt tokens of the requests of [peers] that the endpoint still has to read. */
    public fun unreadTokensAt(now: ComparableTimeMark, peers: Set<Incarnation>): Long =
        validOf(now, peers).sumOf(Report::unreadTokens)

    /** Removes all reports, as the endpoint has restarted. */
    public fun clear(): Unit = reports.clear()

    private fun validOf(now: ComparableTimeMark, peers: Set<Incarnation>): Collection<Report> {
        valid(now)
        return reports.filterKeys { it in peers }.values
    }

    private fun valid(now: ComparableTimeMark): Collection<Report> {
        reports.values.removeIf { now - it.at > validity }
        return reports.values
    }

    private companion object {
        /** Two and a half times the period in which an instance reports everything again. */
        val Validity = 2_500.milliseconds
    }
}
