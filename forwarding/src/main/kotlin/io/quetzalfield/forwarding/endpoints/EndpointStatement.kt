package io.quetzalfield.forwarding.endpoints

import kotlin.time.Duration

/**
 * What an endpoint states about itself in one response.
 *
 * @property requestsPerSecond the requests per second that it accepts from all instances together; `null` if it names
 * no limit.
 * @property malformedLimit a limit that cannot be decoded, as received; `null` if there is none.
 * @property isLeaving whether it states that it will end.
 * @property coldFor remaining time for which it is cold; `null` if it does not state that.
 * @property malformedLeaving a statement about its end that cannot be decoded, as received; `null` if there is none.
 */
public data class EndpointStatement(
    val requestsPerSecond: Double? = null,
    val malformedLimit: String? = null,
    val isLeaving: Boolean = false,
    val malformedLeaving: String? = null,
    val coldFor: Duration? = null,
)
