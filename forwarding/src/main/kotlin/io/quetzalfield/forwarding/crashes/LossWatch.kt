package io.quetzalfield.forwarding.crashes

import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.http.ConnectionTrace
import io.quetzalfield.model.RunnerId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds

/** What is known of the start of an endpoint whose connection was lost. */
internal enum class LossVerdict {
    /** Nothing shows whether it has ended. */
    OPEN,

    /** It refuses connections, and its other ones or its entry are gone: it has ended, unless it is heard of again. */
    BROKEN_OFF,

    /** Its entry shows that it has ended. */
    ENDED,

    /** What shows that it has ended did not come in time, or its end was announced. */
    UNDECIDED,
}

/**
 * Watches [endpoint] after a loss at [lostAt], to find out whether the process there has ended.
 *
 * Load pattern: a process that ends breaks all of its connections at once and refuses new ones; it is back some seconds
 * later with another start, or its entry expires. Others live on: an endpoint that resets each call, and refuses
 * connections for a while, keeps those that carry no call, and its entry stays.
 *
 * @param callHadBegun whether the connection that was lost to this instance carried the beginning of an answer.
 */
internal class LossWatch(
    private val endpoint: Endpoint,
    private val lostAt: ComparableTimeMark,
    private val rules: CrashRules,
    private val callHadBegun: Boolean,
) {
    /** The start that was lost. */
    val start: RunnerId = endpoint.startId

    /** Whether the endpoint has refused a connection since. */
    var isRefusing: Boolean = false

    /** Returns the verdict at [now], with what the connections of this instance around [lostAt] show. */
    fun verdict(now: ComparableTimeMark, trace: ConnectionTrace): LossVerdict {
        val vanishedAt = endpoint.vanishedAt
        return when {
            endpoint.startId != start -> LossVerdict.ENDED
            endpoint.description.isLeaving -> LossVerdict.UNDECIDED
            vanishedAt != null && now - vanishedAt >= ReturnTime -> LossVerdict.ENDED
            now - lostAt >= rules.confirmationTime -> LossVerdict.UNDECIDED
            isRefusing && (vanishedAt != null || isBrokenOff(trace)) -> LossVerdict.BROKEN_OFF
            else -> LossVerdict.OPEN
        }
    }

    /** Whether it is worth finding out if the endpoint refuses connections. */
    fun isDoubtful(trace: ConnectionTrace): Boolean =
        !isRefusing && endpoint.startId == start && (endpoint.vanishedAt != null || isBrokenOff(trace))

    /**
     * Whether a connection that the endpoint takes at [now] shows that it lives on. One that it takes later may be
     * taken by the next process at its address. It is not asked as early if the loss concerns one request only, of
     * [lostRequests]: one that makes endpoints end is to meet no further ones meanwhile.
     */
    fun canShowLife(now: ComparableTimeMark, lostRequests: Int): Boolean {
        val earliest = if (lostRequests > 1) rules.reportDelay else LifeCheckOfOne
        return !isRefusing && endpoint.startId == start && now - lostAt in earliest..RestartTime
    }

    /** Whether all connections have ended, another one than that of the call among them. */
    private fun isBrokenOff(trace: ConnectionTrace): Boolean =
        trace.open == 0 && trace.broken > if (callHadBegun) 1 else 0

    private companion object {
        /** Time within which a process whose entry had only expired has written it again. */
        val ReturnTime = 2_000.milliseconds

        val LifeCheckOfOne = 800.milliseconds

        /** Shorter than the time in which a process that has ended is replaced. */
        val RestartTime = 1_500.milliseconds
    }
}
