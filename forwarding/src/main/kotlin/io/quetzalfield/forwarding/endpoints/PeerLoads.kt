package io.quetzalfield.forwarding.endpoints

import io.quetzalfield.model.Incarnation
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What other instances have at one endpoint, as they told last. What an instance told is dropped once it has been
 * silent for [validity]: it has ended, or cannot be heard.
 */
public class PeerLoads(private val validity: Duration = Validity) {
    private class Told(val running: Int, val unreadTokens: Long, val at: ComparableTimeMark)

    private val told = HashMap<Incarnation, Told>()

    /** Takes what [peer] told at [at]: requests that it has at the endpoint, and their prompt tokens to be read. */
    public fun take(peer: Incarnation, running: Int, unreadTokens: Long, at: ComparableTimeMark) {
        if (running == 0 && unreadTokens == 0L) told.remove(peer) else told[peer] = Told(running, unreadTokens, at)
    }

    /** Requests that other instances have at the endpoint. */
    public fun runningAt(now: ComparableTimeMark): Int = valid(now).sumOf(Told::running)

    /** Prompt tokens of other instances' requests that the endpoint still has to read. */
    public fun unreadTokensAt(now: ComparableTimeMark): Long = valid(now).sumOf(Told::unreadTokens)

    /** Requests that [peers] have at the endpoint. */
    public fun runningAt(now: ComparableTimeMark, peers: Set<Incarnation>): Int =
        validOf(now, peers).sumOf(Told::running)

    /** Prompt tokens of the requests of [peers] that the endpoint still has to read. */
    public fun unreadTokensAt(now: ComparableTimeMark, peers: Set<Incarnation>): Long =
        validOf(now, peers).sumOf(Told::unreadTokens)

    /** Forgets everything: the endpoint has started anew. */
    public fun clear(): Unit = told.clear()

    private fun validOf(now: ComparableTimeMark, peers: Set<Incarnation>): Collection<Told> {
        valid(now)
        return told.filterKeys { it in peers }.values
    }

    private fun valid(now: ComparableTimeMark): Collection<Told> {
        told.values.removeIf { now - it.at > validity }
        return told.values
    }

    private companion object {
        /** Two and a half of the periods after which an instance tells everything again. */
        val Validity = 2_500.milliseconds
    }
}
