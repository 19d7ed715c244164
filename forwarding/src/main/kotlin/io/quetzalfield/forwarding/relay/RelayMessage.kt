package io.quetzalfield.forwarding.relay

import io.quetzalfield.forwarding.PeerFormat
import io.quetzalfield.store.StoreChange
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.StoredValue
import kotlinx.serialization.Serializable

/** One key of a part, as one instance passes it on to another; [value] is `null` for a key that is gone. */
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
 * @property reached revision up to which the copy is complete.
 * @property isLost whether the sender cannot read the part at present, or has not read it yet.
 * @property confirmedMillisecondsAgo age of the sender's last confirmation; `null` when there was none.
 */
@Serializable
internal data class PartCurrency(
    val prefix: String,
    val reached: Long,
    val isLost: Boolean,
    val confirmedMillisecondsAgo: Long? = null,
)

/** What two instances say to each other on a relay connection. */
@Serializable
internal sealed interface RelayMessage {
    /** Asks how current the sender's parts are; sent by the instance that opened the connection. */
    @Serializable
    data class Ask(val number: Long) : RelayMessage

    /** Answers the [Ask] with this number. All changes that [parts] speak of were sent before. */
    @Serializable
    data class Current(val number: Long, val parts: List<PartCurrency>) : RelayMessage

    /** The part under [prefix] holds exactly [keys]. */
    @Serializable
    data class State(val prefix: String, val keys: List<RelayedKey>) : RelayMessage

    /** Keys of the part under [prefix] have changed. */
    @Serializable
    data class Changes(val prefix: String, val keys: List<RelayedKey>) : RelayMessage
}

internal fun RelayMessage.encode(): ByteArray = PeerFormat.encode(RelayMessage.serializer(), this)

/** @throws kotlinx.serialization.SerializationException when [bytes] hold no message. */
internal fun decodeRelayMessage(bytes: ByteArray): RelayMessage = PeerFormat.decode(RelayMessage.serializer(), bytes)
