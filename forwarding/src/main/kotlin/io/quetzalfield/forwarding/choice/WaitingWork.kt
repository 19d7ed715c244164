package io.quetzalfield.forwarding.choice

import io.quetzalfield.forwarding.endpoints.Endpoint
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds

/** The work before a new request at an endpoint, as far as this instance knows. */
internal object WaitingWork {
    /** Work, in prompt tokens, that [endpoint] does before it starts on a new request. */
    fun tokensAt(endpoint: Endpoint, now: ComparableTimeMark): Long {
        val coldTokens = if (endpoint.isColdAt(now)) COLD_TOKENS else 0
        val running = runningAt(endpoint, now)
        return coldTokens + endpoint.unreadTokensAt(now) + running * RUNNING_TOKENS +
            waitingAt(endpoint, running, now) * WAITING_TOKENS
    }

    /** Requests of all instances at [endpoint], by their reports or by its own, whichever is larger. */
    fun runningAt(endpoint: Endpoint, now: ComparableTimeMark): Int =
        maxOf(endpoint.runningAt(now), reported(endpoint, now)?.running ?: 0)

    /** Requests that wait at [endpoint] while [running] are there. */
    fun waitingAt(endpoint: Endpoint, running: Int, now: ComparableTimeMark): Int =
        (reported(endpoint, now)?.waiting ?: 0) + (running - endpoint.description.capacity).coerceAtLeast(0)

    private fun reported(endpoint: Endpoint, now: ComparableTimeMark) = endpoint.load.takeIf {
        endpoint.loadReportedAt.let { at -> at != null && now - at < LoadValidity }
    }

    /** Prompt tokens that are read in the time by which one running request delays the others. */
    private const val RUNNING_TOKENS = 300L

    /** Prompt tokens assumed for a waiting request: about the mean prompt after its shared parts. */
    private const val WAITING_TOKENS = 2_000L

    /** Penalty, in prompt tokens, for an endpoint that is still slow after its start. */
    private const val COLD_TOKENS = 4_000L

    /** Time for which a reported load is used: about one answer of the usual length. */
    private val LoadValidity = 2_000.milliseconds
}
