package io.quetzalfield.forwarding.endpoints

import kotlin.math.pow
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Effect of a statement on the limit of its endpoint. */
public enum class LimitChange { NONE, NAMED, CHANGED, ENDED }

/**
 * The limit on requests that an endpoint has named, by its newest statement. Used on the event loop only.
 *
 * When the limit ends, the rate doubles every [GrowthPeriod] instead of returning at once: an endpoint that has just
 * recovered would otherwise get the requests of all instances in the same moment. A limit that no answer confirms ends
 * in the same way: an instance that has no part of it sends nothing, and may have missed the report of its end.
 */
public class EndpointLimit {
    /** Requests per second that the endpoint named last; kept after the end of the limit. */
    private var named: Double? = null
    private var statedAt: ComparableTimeMark? = null

    /** Whether the newest statement names a limit. */
    public var isInForce: Boolean = false
        private set

    /** Requests per second that the newest statement names; `null` if it names none. */
    public val requestsPerSecond: Double? get() = named.takeIf { isInForce }

    /** Time of the newest statement that changed or confirmed a limit; `null` if there was none. */
    public val newestStatement: ComparableTimeMark? get() = statedAt

    /** Records that the endpoint stated [requestsPerSecond] at [at]; `null` ends the limit. Older news are ignored. */
    public fun update(requestsPerSecond: Double?, at: ComparableTimeMark): LimitChange {
        val newest = statedAt
        if (newest != null && at < newest) return LimitChange.NONE
        if (requestsPerSecond == null) return end(at)
        val before = this.requestsPerSecond
        named = requestsPerSecond
        statedAt = at
        isInForce = true
        return when (before) {
            null -> LimitChange.NAMED
            requestsPerSecond -> LimitChange.NONE
            else -> LimitChange.CHANGED
        }
    }

    private fun end(at: ComparableTimeMark): LimitChange {
        if (!isInForce) return LimitChange.NONE
        isInForce = false
        statedAt = at
        return LimitChange.ENDED
    }

    /** Requests per second that all instances together may send at [now]; `null` if there is no limit. */
    public fun rateAt(now: ComparableTimeMark): Double? {
        val base = maxOf(named ?: return null, LOWEST_RATE)
        val stated = statedAt ?: return base
        val sinceEnd = now - if (isInForce) stated + validity(base) else stated
        return when {
            sinceEnd <= Duration.ZERO -> base
            sinceEnd < Recovery -> base * GROWTH.pow(sinceEnd / GrowthPeriod)
            else -> null
        }
    }

    /** Time for which a statement of [perSecond] holds: that of several requests which would confirm it. */
    private fun validity(perSecond: Double): Duration =
        maxOf(ShortestValidity, (CONFIRMING_REQUESTS / perSecond).seconds)

    /** Discards the limit, as the endpoint has restarted. */
    public fun clear() {
        named = null
        statedAt = null
        isInForce = false
    }

    private companion object {
        /**
         * Requests per second that are sent to an endpoint that names a lower limit, also to one that names 0: only an
         * answer shows that the limit has ended.
         */
        const val LOWEST_RATE = 0.1
        const val GROWTH = 2.0

        /** Requests after which a limit that is in force has been confirmed, also if some are not answered. */
        const val CONFIRMING_REQUESTS = 6

        /** Many times the period in which instances report limits to each other. */
        val ShortestValidity = 10.seconds
        val GrowthPeriod = 1.seconds

        /** Time after the end of a limit in which the rate reaches many times the limit. */
        val Recovery = 6.seconds
    }
}
