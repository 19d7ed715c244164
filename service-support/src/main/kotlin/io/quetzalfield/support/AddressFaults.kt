package io.quetzalfield.support

import io.quetzalfield.model.HostPort

/** Returns the fault of the setting [key] if [text] is not an address, otherwise `null`. */
public fun addressFault(key: String, text: String): SettingsFault? =
    if (HostPort.parse(text) != null) null else SettingsFault(key, "'$text'", "host:port, such as 127.0.0.1:8080")

/** Returns the fault of the setting [key] if [text] is not an `http://` address, otherwise `null`. */
public fun httpAddressFault(key: String, text: String): SettingsFault? {
    val isValid = text.startsWith("http://") && HostPort.parse(text.removePrefix("http://")) != null
    return if (isValid) null else SettingsFault(key, "'$text'", "http://host:port, such as http://127.0.0.1:8080")
}
