package io.quetzalfield.support

private const val HIGHEST_PORT = 65_535

/** An IP address with a port. */
public data class HostPort(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"

    public companion object {
        /** Reads `host:port`; `null` when [text] is of another form. Port 0 stands for any free port. */
        public fun parse(text: String): HostPort? {
            val host = text.substringBeforeLast(':', missingDelimiterValue = "")
            val port = text.substringAfterLast(':').toIntOrNull() ?: return null
            if (host.isBlank() || port !in 0..HIGHEST_PORT) return null
            return HostPort(host, port)
        }
    }
}

/** The fault of a setting that should be an address, if it has one. */
public fun addressFault(key: String, text: String): SettingsFault? =
    if (HostPort.parse(text) != null) null else SettingsFault(key, "'$text'", "host:port, such as 127.0.0.1:8080")

/** The fault of a setting that should be an `http://` address, if it has one. */
public fun httpAddressFault(key: String, text: String): SettingsFault? {
    val isRight = text.startsWith("http://") && HostPort.parse(text.removePrefix("http://")) != null
    return if (isRight) null else SettingsFault(key, "'$text'", "http://host:port, such as http://127.0.0.1:8080")
}
