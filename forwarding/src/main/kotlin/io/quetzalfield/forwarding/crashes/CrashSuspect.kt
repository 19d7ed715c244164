package io.quetzalfield.forwarding.crashes

import io.quetzalfield.model.RequestFingerprint
import kotlinx.serialization.Serializable

/** What may make the endpoints end that answer it: a part that prompts share, or one request with its copies. */
@Serializable
@JvmInline
public value class CrashSuspect(public val value: String) {
    /** Whether this is a part of prompts. */
    public val isPart: Boolean get() = value.startsWith(PART)

    /** The id of the part, or the fingerprint of the request. */
    public val id: String get() = value.substringAfter(':')

    override fun toString(): String = value

    public companion object {
        private const val PART = "part:"
        private const val REQUEST = "request:"

        /** Returns the suspect for the prompt part [id]. */
        public fun ofPart(id: String): CrashSuspect = CrashSuspect(PART + id)

        /** Returns the suspect for all requests with this [fingerprint]. */
        public fun ofRequest(fingerprint: RequestFingerprint): CrashSuspect = CrashSuspect(REQUEST + fingerprint.value)
    }
}
