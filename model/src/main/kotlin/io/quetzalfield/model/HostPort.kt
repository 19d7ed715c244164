package io.quetzalfield.model

private const val HIGHEST_PORT = 65_535

/** An IP address with a port. */
public data class HostPort(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"

    public companion object {
        /** Parses `host:port`; returns `null` if [text] has another form. Port 0 means any free port. */
        public fun parse(text: String): HostPort? {
            val host = text.substringBeforeLast(':', missingDelimiterValue = "")
            val port = text.substringAfterLast(':').toIntOrNull() ?: return null
            if (host.isBlank() || port !in 0..HIGHEST_PORT) return null
            return HostPort(host, port)
        }
    }
}
