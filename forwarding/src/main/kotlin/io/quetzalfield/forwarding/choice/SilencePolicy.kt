package io.quetzalfield.forwarding.choice

import io.quetzalfield.forwarding.configuration.Route
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What to do with an attempt whose endpoint has said nothing for a while. */
public enum class SilenceVerdict { WAIT, PROBE, LEAVE }

/**
 * Tells a busy endpoint from a lost one.
 *
 * Load pattern: endpoints go dark or leave single connections open without answering, while a busy model engine is
 * silent too as it reads a long prompt. An engine that takes a new connection is therefore waited for, up to
 * [PATIENT_LIMITS] times the limit; a plain service, which answers each call by itself, is left at the limit.
 */
public object SilencePolicy {
    /** Silence after which an endpoint of [route] is looked at. */
    public fun limit(route: Route): Duration = if (route.isStream) {
        maxOf(LeastStreamSilence, minOf(route.objective, route.longestPause) * STREAM_SHARE)
    } else {
        maxOf(LeastCallSilence, route.objective * CALL_OBJECTIVES)
    }

    /** The silence that counts: a busy engine works on its requests in turn, a plain service on each by itself. */
    public fun silence(route: Route, ofEndpoint: Duration, ofAttempt: Duration): Duration =
        if (route.isStream) minOf(ofEndpoint, ofAttempt) else ofAttempt

    /**
     * The verdict on an attempt.
     *
     * @param ofEndpoint time since the endpoint last sent anything, on any connection of this instance.
     * @param ofAttempt time since it last sent anything for the attempt.
     */
    public fun judge(route: Route, ofEndpoint: Duration, ofAttempt: Duration): SilenceVerdict {
        val limit = limit(route)
        return when {
            silence(route, ofEndpoint, ofAttempt) < limit -> SilenceVerdict.WAIT
            route.isStream && ofAttempt < limit * PATIENT_LIMITS -> SilenceVerdict.PROBE
            else -> SilenceVerdict.LEAVE
        }
    }

    /** Limits for which an endpoint is waited for that accepts connections but sends nothing. */
    private const val PATIENT_LIMITS = 3

    /** Longer than the largest model reads the longest usual prompt. */
    private val LeastStreamSilence = 1_300.milliseconds

    /** Part of the objective or longest pause; the rest is left for the next endpoint. */
    private const val STREAM_SHARE = 0.7

    /** Several times the usual answer of a plain service. */
    private val LeastCallSilence = 250.milliseconds

    /** Objectives after which a plain call is late beyond use. */
    private const val CALL_OBJECTIVES = 2
}
