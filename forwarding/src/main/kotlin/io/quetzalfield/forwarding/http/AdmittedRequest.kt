package io.quetzalfield.forwarding.http

import io.quetzalfield.decision.fingerprintOf
import io.quetzalfield.forwarding.configuration.ClientAccount
import io.quetzalfield.forwarding.configuration.Route
import io.quetzalfield.model.RequestFingerprint
import io.quetzalfield.model.ServiceId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/**
 * A request that the configuration allows, with the properties that stay constant until its final answer.
 *
 * @property urgency urgency among the requests at an endpoint; 0 is the most urgent.
 * @property arrivedAt when the request was completely received.
 * @property deadline when the caller's deadline or the route's timeout expires, whichever is first.
 */
internal class AdmittedRequest(
    val context: RoutingContext,
    val caller: CallerRequest,
    val route: Route,
    val service: ServiceId,
    val account: ClientAccount?,
    val urgency: Int,
    val arrivedAt: ComparableTimeMark,
    val deadline: ComparableTimeMark,
) {
    val head: RequestHead get() = caller.head

    /** Time left until [deadline]. */
    val remaining: Duration get() = deadline - context.timeSource.markNow()

    /** Hash of method, path, account and body, which is equal for all copies of the request that its caller sends. */
    val fingerprint: RequestFingerprint by lazy {
        val message = caller.message
        val body = caller.body.toString(Charsets.ISO_8859_1)
        fingerprintOf("${message.method()} ${message.uri()} ${account?.account?.value}\n$body")
    }
}
