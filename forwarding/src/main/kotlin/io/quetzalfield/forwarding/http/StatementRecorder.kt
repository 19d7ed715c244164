package io.quetzalfield.forwarding.http

import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.endpoints.LimitChange
import kotlin.time.ComparableTimeMark

/** Records what [endpoint] states about itself in its responses to one request. */
internal class StatementRecorder(
    private val context: RoutingContext,
    private val caller: CallerRequest,
    private val endpoint: Endpoint,
) {
    /** Records that the endpoint has answered a request that was sent at [sentAt]. */
    fun recordAlive(decoded: ResponseHead, sentAt: ComparableTimeMark) {
        val isSameStart = !decoded.isMisdirected && endpoint.startId == endpointStart
        if (isSameStart) context.crashes.recordAlive(endpoint, sentAt)
    }

    /** The start of the endpoint that the request is sent to; the endpoint may have restarted when it answers. */
    private val endpointStart = endpoint.startId

    /**
     * Records that the endpoint states that it will end, in any response, also in one to another request. A misdirected
     * request was answered by another endpoint.
     */
    fun recordLeaving(decoded: ResponseHead) {
        if (decoded.isMisdirected) return
        val statement = decoded.statement
        statement.malformedLeaving?.let(::recordMalformed)
        if (!statement.isLeaving || endpoint.startId != endpointStart) return
        if (!context.endpoints.markLeaving(endpoint)) return
        context.metrics.countLeaving()
        caller.log("endpoint_leaving", "endpoint" to endpoint, "start" to endpoint.description.start)
        context.connections.retire(endpoint.description.address)
        context.onLeaving(endpoint)
    }

    /** Records that the endpoint states that it is cold; a misdirected request was answered by another endpoint. */
    fun recordCold(decoded: ResponseHead) {
        val coldFor = decoded.statement.coldFor ?: return
        if (!decoded.isMisdirected) endpoint.recordCold(coldFor, context.timeSource.markNow())
    }

    private fun recordMalformed(text: String) {
        context.metrics.countMalformedStatement()
        caller.log("statement_malformed", "endpoint" to endpoint, "text" to text)
    }

    /** Records the limit that the endpoint states. The end of a limit is accepted in a signed response only. */
    fun recordLimit(decoded: ResponseHead, at: ComparableTimeMark) {
        if (decoded.isMisdirected) return
        val statement = decoded.statement
        if (statement.malformedLimit != null) return recordMalformed(statement.malformedLimit)
        if (statement.requestsPerSecond == null && !decoded.isSigned) return
        val before = endpoint.limit.requestsPerSecond
        val change = context.limits.record(endpoint, statement.requestsPerSecond, at)
        if (change == LimitChange.NONE) return
        context.metrics.countLimitChange(change)
        caller.log(
            "endpoint_limit",
            "endpoint" to endpoint,
            "change" to change,
            "per_second" to statement.requestsPerSecond,
            "before" to before,
        )
        context.onWorkChanged()
    }
}
