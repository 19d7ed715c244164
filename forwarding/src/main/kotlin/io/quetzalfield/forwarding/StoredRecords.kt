package io.quetzalfield.forwarding

import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.StoredValue
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException

/** Event of a log line on a record of the fleet that cannot be read. */
internal const val UNREADABLE_RECORD = "record_unreadable"

/** The record that this value holds; `null`, with a log line for [event], when it cannot be read. */
public fun <T> StoredValue.decodeOrLog(serializer: DeserializationStrategy<T>, event: String): T? = try {
    PlatformJson.decodeFromString(serializer, value)
} catch (error: SerializationException) {
    DecisionLog.write(event, "key" to key, "reason" to error.message)
    null
}
