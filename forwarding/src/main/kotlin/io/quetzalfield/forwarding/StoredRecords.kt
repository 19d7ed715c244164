package io.quetzalfield.forwarding

import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.StoredValue
import kotlinx.serialization.DeserializationStrategy

/** Log event for a record of the fleet that cannot be decoded. */
internal const val UNREADABLE_RECORD = "record_unreadable"

private const val LOGGED_LENGTH = 200

/** Decodes this value; writes a log line for [event] and returns `null` if that fails. */
public fun <T> StoredValue.decodeOrLog(serializer: DeserializationStrategy<T>, event: String): T? = try {
    PlatformJson.decodeFromString(serializer, value)
} catch (error: IllegalArgumentException) {
    // Also thrown by checks of decoded types; a message may quote the whole value.
    DecisionLog.write(event, "key" to key, "reason" to error.message?.take(LOGGED_LENGTH))
    null
}
