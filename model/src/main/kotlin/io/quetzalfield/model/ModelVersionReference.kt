package io.quetzalfield.model

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** Identifies one version of one model; written as `model@version`. */
@Serializable(with = ModelVersionReferenceSerializer::class)
public data class ModelVersionReference(val model: ModelId, val version: VersionId) :
    Comparable<ModelVersionReference> {
    override fun toString(): String = "${model.value}@${version.value}"

    override fun compareTo(other: ModelVersionReference): Int = toString().compareTo(other.toString())

    public companion object {
        /** Parses `model@version`; returns `null` if [text] has another form. */
        public fun parse(text: String): ModelVersionReference? {
            val parts = text.split('@')
            if (parts.size != 2 || parts.any(String::isBlank)) return null
            return ModelVersionReference(ModelId(parts[0]), VersionId(parts[1]))
        }
    }
}

/** Serializes a reference as the string `model@version`. */
public object ModelVersionReferenceSerializer : KSerializer<ModelVersionReference> {
    override val descriptor: SerialDescriptor =
        PrimitiveSerialDescriptor("io.quetzalfield.model.ModelVersionReference", PrimitiveKind.STRING)

    override fun serialize(encoder: Encoder, value: ModelVersionReference) {
        encoder.encodeString(value.toString())
    }

    override fun deserialize(decoder: Decoder): ModelVersionReference {
        val text = decoder.decodeString()
        return ModelVersionReference.parse(text)
            ?: throw ScalarFormatException(descriptor.serialName, text, allowed = "model@version")
    }
}
