package io.quetzalfield.forwarding.http

import io.netty.util.concurrent.ScheduledFuture
import io.quetzalfield.forwarding.choice.SilencePolicy
import io.quetzalfield.forwarding.choice.SilenceVerdict
import io.quetzalfield.forwarding.configuration.Route
import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.schedule
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Watches an attempt at [endpoint] for silence: a lost endpoint may leave its connection open.
 *
 * @param sentAt when the request was sent.
 * @param given time that the request had left then.
 * @param onExceeded called when the endpoint has been silent for too long, until [close].
 */
internal class SilenceWatch(
    private val context: RoutingContext,
    private val route: Route,
    private val endpoint: Endpoint,
    private val sentAt: ComparableTimeMark,
    private val given: Duration,
    private val onExceeded: () -> Unit,
) {
    private var timer: ScheduledFuture<*>? = null
    private var isClosed = false

    /** Time at which the attempt last showed progress. */
    var lastActivity: ComparableTimeMark = sentAt

    /** Schedules the next check. */
    fun start() {
        val wait = SilencePolicy.timeUntilVerdict(route, endpointSilence(), lastActivity.elapsedNow(), given)
        timer = context.eventLoop.schedule(maxOf(wait, ShortestSilenceCheck)) {
            if (isClosed) return@schedule
            when (SilencePolicy.verdict(route, endpointSilence(), lastActivity.elapsedNow(), given)) {
                SilenceVerdict.WAIT -> start()
                SilenceVerdict.PROBE -> probe()
                SilenceVerdict.LEAVE -> onExceeded()
            }
        }
    }

    /** Ends the watch. */
    fun close() {
        isClosed = true
        timer?.cancel(false)
    }

    private fun endpointSilence() = (endpoint.lastHeard ?: sentAt).elapsedNow()

    /** Connects to the endpoint: one that accepts connections is assumed to be busy, any other one to be lost. */
    private fun probe() {
        context.connections.probe(endpoint.description.address) { failure ->
            if (isClosed) return@probe
            val isReached = failure == null
            if (isReached) endpoint.lastHeard = context.timeSource.markNow()
            if (isReached) start() else onExceeded()
        }
    }

    private companion object {
        /** Shortest time between two checks of a silent endpoint. */
        val ShortestSilenceCheck = 50.milliseconds
    }
}
