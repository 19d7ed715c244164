package io.quetzalfield.forwarding.relay

import com.sun.management.ThreadMXBean
import io.quetzalfield.store.StoreChange
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.StoredValue
import kotlinx.serialization.SerializationException
import org.junit.jupiter.api.Test
import java.lang.management.ManagementFactory
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RelayMessageTest {
    private val messages = listOf(
        RelayMessage.Ask(7),
        RelayMessage.Current(7, listOf(PartFreshness("lists/", 12, isLost = false, confirmedMillisecondsAgo = 3))),
        RelayMessage.State("lists/", listOf(RelayedKey("lists/current", "{}", modified = 5, created = 2))),
        RelayMessage.Changes("lists/", listOf(RelayedKey("lists/orders/a"))),
    )

    @Test
    fun `a decoded message equals the encoded one`() {
        messages.forEach { assertEquals(it, decodeRelayMessage(it.encode())) }
    }

    /** Each instance sends and receives several a second, and in the first minute most of that is interpreted. */
    @Test
    fun `the description of the types of message is not built anew for each message`() {
        val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean
        val message = RelayMessage.Ask(7)
        repeat(100) { decodeRelayMessage(message.encode()) }
        val before = threads.currentThreadAllocatedBytes
        repeat(1_000) { decodeRelayMessage(message.encode()) }
        val bytes = (threads.currentThreadAllocatedBytes - before) / 1_000
        assertTrue(bytes < 3_000, "$bytes bytes are allocated for a message of ${message.encode().size}")
    }

    @Test
    fun `a change is the same after conversion to a relayed key and back`() {
        val value = StoredValue("a", "", StoreRevision(4), StoreRevision(3))
        listOf(StoreChange("a", value), StoreChange("a", null)).forEach {
            assertEquals(it, RelayedKey.of(it).toChange())
        }
    }

    @Test
    fun `malformed bytes cause no exception other than SerializationException`() {
        repeat(20_000) { seed ->
            val random = Random(seed)
            val bytes = messages[random.nextInt(messages.size)].encode().copyOf(random.nextInt(1, 60))
            repeat(random.nextInt(4)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
            try {
                decodeRelayMessage(bytes)
            } catch (_: SerializationException) {
                // The only exception that the connection's handler expects.
            }
        }
    }
}
