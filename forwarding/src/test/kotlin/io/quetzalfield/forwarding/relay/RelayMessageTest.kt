package io.quetzalfield.forwarding.relay

import io.quetzalfield.store.StoreChange
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.StoredValue
import kotlinx.serialization.SerializationException
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.test.assertEquals

class RelayMessageTest {
    private val messages = listOf(
        RelayMessage.Ask(7),
        RelayMessage.Current(7, listOf(PartCurrency("lists/", 12, isLost = false, confirmedMillisecondsAgo = 3))),
        RelayMessage.State("lists/", listOf(RelayedKey("lists/current", "{}", modified = 5, created = 2))),
        RelayMessage.Changes("lists/", listOf(RelayedKey("lists/orders/a"))),
    )

    @Test
    fun `a message comes back as it was`() {
        messages.forEach { assertEquals(it, decodeRelayMessage(it.encode())) }
    }

    @Test
    fun `a change comes back as it was`() {
        val value = StoredValue("a", "", StoreRevision(4), StoreRevision(3))
        listOf(StoreChange("a", value), StoreChange("a", null)).forEach {
            assertEquals(it, RelayedKey.of(it).toChange())
        }
    }

    @Test
    fun `bytes that are no message are told as such`() {
        repeat(20_000) { seed ->
            val random = Random(seed)
            val bytes = messages[random.nextInt(messages.size)].encode().copyOf(random.nextInt(1, 60))
            repeat(random.nextInt(4)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
            try {
                decodeRelayMessage(bytes)
            } catch (_: SerializationException) {
                // What the connection's handler expects.
            }
        }
    }
}
