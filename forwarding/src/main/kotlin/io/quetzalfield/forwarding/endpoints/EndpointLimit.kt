package io.quetzalfield.forwarding.endpoints

/** Effect of a response on the limit of its endpoint. */
public enum class LimitChange { NONE, NAMED, CHANGED, ENDED }

/** The limit on requests that an endpoint has named. Used on the event loop only. */
public class EndpointLimit {
    /** Requests per second that the endpoint accepts from all instances together; `null` without a limit. */
    public var requestsPerSecond: Double? = null
        private set

    /** Records what a response of the endpoint states; one without a limit ends the limit. */
    public fun update(stated: Double?): LimitChange {
        val before = requestsPerSecond
        requestsPerSecond = stated
        return when {
            before == stated -> LimitChange.NONE
            before == null -> LimitChange.NAMED
            stated == null -> LimitChange.ENDED
            else -> LimitChange.CHANGED
        }
    }

    /** Removes the limit, as the endpoint has restarted. */
    public fun clear() {
        requestsPerSecond = null
    }
}
