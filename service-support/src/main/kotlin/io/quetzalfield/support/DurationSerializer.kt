package io.quetzalfield.support

import io.quetzalfield.model.ScalarFormatException
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder
import kotlin.time.Duration

/** A duration in settings, written with its unit: `500ms`, `2s`, `1m 30s`. */
public typealias SettingDuration =
    @Serializable(with = DurationSerializer::class)
    Duration

/** Reads and writes durations with their unit. */
public object DurationSerializer : KSerializer<Duration> {
    override val descriptor: SerialDescriptor = PrimitiveSerialDescriptor("duration", PrimitiveKind.STRING)

    override fun serialize(encoder: Encoder, value: Duration) {
        encoder.encodeString(value.toString())
    }

    override fun deserialize(decoder: Decoder): Duration {
        val text = decoder.decodeString()
        return Duration.parseOrNull(text)
            ?: throw ScalarFormatException(descriptor.serialName, text, ALLOWED)
    }

    /** The allowed format, for error messages. */
    internal const val ALLOWED: String = "a number with a unit, such as 500ms or 2s"
}
