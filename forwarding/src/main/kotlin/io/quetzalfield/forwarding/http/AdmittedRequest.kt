package io.quetzalfield.forwarding.http

import io.quetzalfield.decision.fingerprintOf
import io.quetzalfield.forwarding.configuration.ClientAccount
import io.quetzalfield.forwarding.configuration.Route
import io.quetzalfield.model.RequestFingerprint
import io.quetzalfield.model.ServiceId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/**
 * A request that the configuration allows, with all that does not change until its final answer.
 *
 * @property arrivedAt when the whole request was here.
 * @property deadline the end of the caller's patience or of the route's timeout, whichever is first.
 */
internal class AdmittedRequest(
    val context: RoutingContext,
    val caller: CallerRequest,
    val route: Route,
    val service: ServiceId,
    val account: ClientAccount?,
    val arrivedAt: ComparableTimeMark,
    val deadline: ComparableTimeMark,
) {
    val head: RequestHead get() = caller.head

    /** What is left of the caller's time. */
    val remaining: Duration get() = deadline - context.timeSource.markNow()

    /** The same for every copy of the request that its caller sends: method, path, account and body. */
    val fingerprint: RequestFingerprint by lazy {
        val message = caller.message
        val body = caller.body.toString(Charsets.ISO_8859_1)
        fingerprintOf("${message.method()} ${message.uri()} ${account?.account?.value}\n$body")
    }
}
