package io.quetzalfield.forwarding

import io.quetzalfield.forwarding.choice.RetryBounds
import io.quetzalfield.forwarding.intake.CallerIntake
import io.quetzalfield.forwarding.intake.IntakeLimits
import io.quetzalfield.model.HostPort
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The settings of one router instance.
 *
 * @property callerAddress address at which callers' requests are accepted.
 * @property readinessAddress address at which the platform queries the readiness of this instance.
 * @property directoryAddress address at which callers query the addresses to use; `null` disables that interface.
 * @property peerAddress address for datagrams and relay connections of other instances; `null` disables both.
 * @property metricsPort port at which metrics are served.
 * @property revocationBound time after which a revoked API key is no longer accepted, even by an instance that has lost
 * the store; `null` for no such bound.
 * @property shutdownGrace time between the termination signal and the forced end of the process.
 * @property isCapacityScarce whether callers at times ask for more than the endpoints can do, so that work that is done
 * twice costs other callers their answers.
 * @property intakeLimits limits on what is held for callers; derived from the bounds of this process if not given.
 * @property addressValidity time for which callers may cache an answer with addresses.
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
    val isCapacityScarce: Boolean = false,
    val intakeLimits: IntakeLimits = IntakeLimits.of(
        CallerIntake.processBounds(memoryBytes = null, descriptors = null),
    ),
    val retryBounds: RetryBounds = RetryBounds(ratio = 0.1, slack = 10.0, window = 10.seconds),
) {
    private companion object {
        /** Shorter than the usual time between SIGTERM and SIGKILL of service managers. */
        val DefaultShutdownGrace = 8.seconds

        /** Short, so that callers stop using an instance soon after it has left the directory. */
        val DefaultAddressValidity = 1_000.milliseconds
    }
}
