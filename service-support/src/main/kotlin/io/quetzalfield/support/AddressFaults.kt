package io.quetzalfield.support

import io.quetzalfield.model.HostPort

/** The fault of a setting that should be an address, if it has one. */
public fun addressFault(key: String, text: String): SettingsFault? =
    if (HostPort.parse(text) != null) null else SettingsFault(key, "'$text'", "host:port, such as 127.0.0.1:8080")

/** The fault of a setting that should be an `http://` address, if it has one. */
public fun httpAddressFault(key: String, text: String): SettingsFault? {
    val isRight = text.startsWith("http://") && HostPort.parse(text.removePrefix("http://")) != null
    return if (isRight) null else SettingsFault(key, "'$text'", "http://host:port, such as http://127.0.0.1:8080")
}
