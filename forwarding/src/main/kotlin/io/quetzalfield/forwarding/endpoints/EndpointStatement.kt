package io.quetzalfield.forwarding.endpoints

/**
 * What an endpoint states about itself in one response.
 *
 * @property requestsPerSecond the requests per second that it accepts from all instances together; `null` if it names
 * no limit.
 * @property malformed a statement that cannot be decoded, as received; `null` if there is none.
 */
public data class EndpointStatement(val requestsPerSecond: Double? = null, val malformed: String? = null)
