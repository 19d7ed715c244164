package io.quetzalfield.forwarding.choice

import io.quetzalfield.forwarding.configuration.Route
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What to do with an attempt whose endpoint has sent nothing for a while. */
public enum class SilenceVerdict { WAIT, PROBE, LEAVE }

/**
 * Distinguishes a busy endpoint from a lost one.
 *
 * Load pattern: endpoints become unreachable or leave single connections open without answering, while a busy model
 * engine is also silent as it reads a long prompt. The router therefore waits for an engine that accepts a new
 * connection, up to [PROBED_LIMITS] times the limit; an attempt at a plain service, which answers each call by itself,
 * is abandoned at the limit, and earlier, while there is time for another attempt, if the endpoint has not answered any
 * other call meanwhile either.
 */
public object SilencePolicy {
    /** Silence after which an endpoint of [route] is probed or left. */
    public fun limit(route: Route): Duration = if (route.isStream) {
        maxOf(ShortestStreamSilence, minOf(route.objective, route.longestPause) * STREAM_SHARE)
    } else {
        maxOf(ShortestCallSilence, route.objective * CALL_OBJECTIVES)
    }

    /** Silence to compare with the limit: an engine works on its requests in turn, a plain service on each alone. */
    public fun silence(route: Route, ofEndpoint: Duration, ofAttempt: Duration): Duration =
        if (route.isStream) minOf(ofEndpoint, ofAttempt) else ofAttempt

    /**
     * Returns the verdict on an attempt.
     *
     * @param ofEndpoint time since the endpoint last sent anything, on any connection of this instance.
     * @param ofAttempt time since it last sent anything for the attempt.
     * @param given time that the request had left when the attempt began.
     */
    public fun verdict(
        route: Route,
        ofEndpoint: Duration,
        ofAttempt: Duration,
        given: Duration = Duration.INFINITE,
    ): SilenceVerdict {
        val limit = limit(route)
        return when {
            !route.isStream && minOf(ofEndpoint, ofAttempt) >= callLimit(given) -> SilenceVerdict.LEAVE
            silence(route, ofEndpoint, ofAttempt) < limit -> SilenceVerdict.WAIT
            route.isStream && ofAttempt < limit * PROBED_LIMITS -> SilenceVerdict.PROBE
            else -> SilenceVerdict.LEAVE
        }
    }

    /** Returns the time until the verdict on an attempt may change, with the parameters of [verdict]. */
    public fun timeUntilVerdict(
        route: Route,
        ofEndpoint: Duration,
        ofAttempt: Duration,
        given: Duration = Duration.INFINITE,
    ): Duration {
        val untilLimit = limit(route) - silence(route, ofEndpoint, ofAttempt)
        return if (route.isStream) untilLimit else minOf(untilLimit, callLimit(given) - minOf(ofEndpoint, ofAttempt))
    }

    /** Silence of an endpoint on all calls after which one with [given] time is left to another endpoint. */
    private fun callLimit(given: Duration): Duration = maxOf(ShortestCallSilence, given * CALL_SHARE)

    /** Number of limits for which the router waits for an endpoint that accepts connections but sends nothing. */
    private const val PROBED_LIMITS = 3

    /** Longer than the largest model takes to read the longest usual prompt. */
    private val ShortestStreamSilence = 1_300.milliseconds

    /** Part of the objective or longest pause; the rest is left for the next endpoint. */
    private const val STREAM_SHARE = 0.7

    /** Several times the usual time to answer of a plain service. */
    private val ShortestCallSilence = 250.milliseconds

    /** Part of the time of a call that one silent endpoint may use up; the rest is for the next ones. */
    private const val CALL_SHARE = 0.5

    /** Number of objectives after which the answer of a plain call is too late to be of use. */
    private const val CALL_OBJECTIVES = 2
}
