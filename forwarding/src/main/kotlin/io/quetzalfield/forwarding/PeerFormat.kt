package io.quetzalfield.forwarding

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.protobuf.ProtoBuf

/** How instances write what they send to each other. */
@OptIn(ExperimentalSerializationApi::class)
internal object PeerFormat {
    fun <T> encode(serializer: SerializationStrategy<T>, value: T): ByteArray =
        ProtoBuf.encodeToByteArray(serializer, value)

    /** @throws SerializationException when [bytes] hold no message of this type. */
    @Suppress("TooGenericExceptionCaught") // The format reads past the end of a message whose lengths are wrong.
    fun <T> decode(serializer: DeserializationStrategy<T>, bytes: ByteArray): T = try {
        ProtoBuf.decodeFromByteArray(serializer, bytes)
    } catch (error: IndexOutOfBoundsException) {
        throw SerializationException("a length points past the end of the message", error)
    } catch (error: IllegalArgumentException) {
        throw error as? SerializationException ?: SerializationException("unreadable message", error)
    }
}
