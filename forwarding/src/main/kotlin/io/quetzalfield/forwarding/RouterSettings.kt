package io.quetzalfield.forwarding

import io.quetzalfield.forwarding.choice.RetryBounds
import io.quetzalfield.model.HostPort
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What the router needs to know of where it runs.
 *
 * @property callerAddress where callers' requests are taken.
 * @property readinessAddress where the platform asks whether this instance takes requests.
 * @property directoryAddress where callers ask which addresses to use.
 * @property peerAddress where datagrams of the other instances are taken; `null` without that exchange.
 * @property metricsPort port at which metrics are served.
 * @property revocationBound time within which an API key that was taken away no longer works, also at an instance that
 * has lost the store; `null` when there is no such bound.
 * @property shutdownGrace time between the signal that ends the process and its end by force.
 * @property addressValidity time for which callers may keep an answer with addresses.
 */
public data class RouterSettings(
    val instance: String,
    val failureDomain: String,
    val callerAddress: HostPort,
    val readinessAddress: HostPort,
    val directoryAddress: HostPort?,
    val metricsPort: Int,
    val revocationBound: Duration?,
    val shutdownGrace: Duration = DefaultShutdownGrace,
    val addressValidity: Duration = DefaultAddressValidity,
    val peerAddress: HostPort? = null,
    val retryBounds: RetryBounds = RetryBounds(ratio = 0.1, slack = 10.0, window = 10.seconds),
) {
    private companion object {
        /** The usual time between SIGTERM and SIGKILL of service managers, shortened to be safe. */
        val DefaultShutdownGrace = 8.seconds

        /** Short, so that callers leave an instance soon after it has left the directory. */
        val DefaultAddressValidity = 1_000.milliseconds
    }
}
