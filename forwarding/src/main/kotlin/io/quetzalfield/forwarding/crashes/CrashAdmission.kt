package io.quetzalfield.forwarding.crashes

import io.quetzalfield.model.RunnerId
import kotlin.time.Duration

/** Whether a request may be sent to an endpoint. */
internal sealed interface CrashAdmission {
    /** Nothing is known against the request. */
    data object Allowed : CrashAdmission

    /**
     * The request is refused because of [suspect].
     *
     * @property isConfirmed whether the endpoints are known to have ended; else it is found out within seconds.
     */
    data class Refused(val suspect: CrashSuspect, val isConfirmed: Boolean = true) : CrashAdmission

    /** The request is refused because of [suspect] but may be sent once, to find out whether that still holds. */
    data class Trial(val suspect: CrashSuspect) : CrashAdmission
}

/** Receives the decisions of a [CrashLedger]. */
internal interface CrashListener {
    /** Called when requests with [suspect] are refused from now on; the last of [endpoints] ended [age] ago by it. */
    fun onBlamed(suspect: CrashSuspect, endpoints: Collection<RunnerId>, age: Duration, isLearned: Boolean)

    /** Called when requests with [suspect] are no longer refused. */
    fun onCleared(suspect: CrashSuspect, reason: String)
}

/** Receives decisions of which nobody takes note. */
internal object NoListener : CrashListener {
    override fun onBlamed(suspect: CrashSuspect, endpoints: Collection<RunnerId>, age: Duration, isLearned: Boolean) =
        Unit

    override fun onCleared(suspect: CrashSuspect, reason: String) = Unit
}
