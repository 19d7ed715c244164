package io.quetzalfield.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The times of the steps of a graceful stop, counted from its start.
 *
 * Load pattern: callers go on to use an answer with addresses for its validity, some of them for three times as long,
 * and a request that is taken late has little time left before the process is ended by force. Requests are taken for as
 * long as callers may use the address, but only in the first half of the grace; those that were taken then have the
 * other half to end.
 *
 * @param grace time between the termination signal and the forced end of the process.
 * @param addressValidity time for which callers may cache an answer with addresses.
 */
internal class ShutdownSchedule(grace: Duration, addressValidity: Duration) {
    /** When the listener is closed, and requests on open connections are refused. */
    val refuseAfter: Duration = (addressValidity * CACHED_VALIDITIES - ListenerMargin)
        .coerceIn(Duration.ZERO, grace * ACCEPTING_PART)

    /** When idle connections are closed, and answers ask callers to close theirs: most callers have left by then. */
    val closeIdleAfter: Duration = minOf(addressValidity * DRAIN_VALIDITIES, refuseAfter)

    /** When requests that still run are given up and answered. */
    val giveUpAfter: Duration = maxOf(grace - GiveUpMargin, refuseAfter)

    /** When the process ends even if callers have not read their answers. */
    val endAfter: Duration = maxOf(grace - EndMargin, giveUpAfter)

    private companion object {
        const val DRAIN_VALIDITIES = 2

        /** Validities for which callers may use an answer with addresses. */
        const val CACHED_VALIDITIES = 3

        /** Part of the grace in which requests are taken. */
        const val ACCEPTING_PART = 0.5

        /** A request that is sent within the callers' longest use of an answer is still taken. */
        val ListenerMargin = 200.milliseconds

        /** Time reserved for the last answers and the end of the process itself. */
        val GiveUpMargin = 600.milliseconds
        val EndMargin = 400.milliseconds
    }
}
