package io.quetzalfield.forwarding.relay

import io.quetzalfield.forwarding.PeerFormat
import io.quetzalfield.store.StoreChange
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.StoredValue
import kotlinx.serialization.Serializable

/** One key of a part, as it is sent between instances; [value] is `null` if the key has been removed. */
@Serializable
internal data class RelayedKey(
    val key: String,
    val value: String? = null,
    val modified: Long = 0,
    val created: Long = 0,
) {
    fun toChange(): StoreChange = StoreChange(
        key = key,
        value = value?.let { StoredValue(key, it, StoreRevision(modified), StoreRevision(created)) },
    )

    companion object {
        fun of(change: StoreChange): RelayedKey {
            val value = change.value ?: return RelayedKey(change.key)
            return RelayedKey(change.key, value.value, value.modified.value, value.created.value)
        }
    }
}

/**
 * How current the sender's copy of a part is.
 *
 * @property reached revision up to which the copy includes every change.
 * @property isLost whether the sender currently cannot read the part or has not read it yet.
 * @property confirmedMillisecondsAgo age of the sender's last confirmation; `null` if there was none.
 */
@Serializable
internal data class PartFreshness(
    val prefix: String,
    val reached: Long,
    val isLost: Boolean,
    val confirmedMillisecondsAgo: Long? = null,
)

/** A message between two instances on a relay connection. */
@Serializable
internal sealed interface RelayMessage {
    /** A query for how current the receiver's parts are; sent by the instance that opened the connection. */
    @Serializable
    data class Ask(val number: Long) : RelayMessage

    /** The answer to the [Ask] with the same number. All changes up to the revisions in [parts] were sent before it. */
    @Serializable
    data class Current(val number: Long, val parts: List<PartFreshness>) : RelayMessage

    /** The complete content of the part under [prefix]. */
    @Serializable
    data class State(val prefix: String, val keys: List<RelayedKey>) : RelayMessage

    /** Changed keys of the part under [prefix]. */
    @Serializable
    data class Changes(val prefix: String, val keys: List<RelayedKey>) : RelayMessage
}

/** Kept, as the serializer of a sealed interface is built anew by each call for it. */
private val MessageSerializer = RelayMessage.serializer()

internal fun RelayMessage.encode(): ByteArray = PeerFormat.encode(MessageSerializer, this)

/** @throws kotlinx.serialization.SerializationException if [bytes] are not a valid message. */
internal fun decodeRelayMessage(bytes: ByteArray): RelayMessage = PeerFormat.decode(MessageSerializer, bytes)
