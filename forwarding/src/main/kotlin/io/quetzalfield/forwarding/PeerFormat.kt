package io.quetzalfield.forwarding

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.protobuf.ProtoBuf

/** The binary format of messages between instances. */
@OptIn(ExperimentalSerializationApi::class)
internal object PeerFormat {
    fun <T> encode(serializer: SerializationStrategy<T>, value: T): ByteArray =
        ProtoBuf.encodeToByteArray(serializer, value)

    /** @throws SerializationException if [bytes] are not a valid message of this type. */
    @Suppress("TooGenericExceptionCaught") // The decoder reads past the end of a message with wrong lengths.
    fun <T> decode(serializer: DeserializationStrategy<T>, bytes: ByteArray): T = try {
        ProtoBuf.decodeFromByteArray(serializer, bytes)
    } catch (error: IndexOutOfBoundsException) {
        throw SerializationException("malformed message: a length points past its end", error)
    } catch (error: IllegalArgumentException) {
        throw error as? SerializationException ?: SerializationException("malformed message", error)
    }
}
