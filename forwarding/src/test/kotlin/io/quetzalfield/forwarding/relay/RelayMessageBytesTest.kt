package io.quetzalfield.forwarding.relay

import org.junit.jupiter.api.Test
import java.util.HexFormat
import kotlin.reflect.KClass
import kotlin.test.assertEquals

/**
 * Instances of different builds send each other relay messages during an upgrade. Renaming, moving or reordering the
 * message classes or their properties would change the bytes, so that these instances could not read each other's
 * messages. The bytes were written by the encoder of commit 071ff2b.
 */
class RelayMessageBytesTest {
    private class Sample(val message: RelayMessage, hexadecimal: String) {
        val hexadecimal = hexadecimal.filterNot(Char::isWhitespace)

        val bytes: ByteArray get() = HexFormat.of().parseHex(hexadecimal)
    }

    private val samples = listOf(
        Sample(
            RelayMessage.Ask(1),
            """
            0a31696f2e717565747a616c6669656c642e666f7277617264696e672e72656c61792e52656c61794d6573736167652e
            41736b12020801
            """,
        ),
        Sample(
            RelayMessage.Ask(9_876_543_210),
            """
            0a31696f2e717565747a616c6669656c642e666f7277617264696e672e72656c61792e52656c61794d6573736167652e
            41736b120608eaadc0e524
            """,
        ),
        Sample(
            RelayMessage.Current(7, emptyList()),
            """
            0a35696f2e717565747a616c6669656c642e666f7277617264696e672e72656c61792e52656c61794d6573736167652e
            43757272656e7412020807
            """,
        ),
        Sample(
            RelayMessage.Current(
                300,
                listOf(PartFreshness("lists/", 12, isLost = false, confirmedMillisecondsAgo = 250)),
            ),
            """
            0a35696f2e717565747a616c6669656c642e666f7277617264696e672e72656c61792e52656c61794d6573736167652e
            43757272656e74121408ac02120f0a066c697374732f100c180020fa01
            """,
        ),
        Sample(
            RelayMessage.Current(
                number = 8,
                parts = listOf(
                    PartFreshness("fleet/", 4_000_000_000, isLost = true, confirmedMillisecondsAgo = 0),
                    PartFreshness("endpoints/", 0, isLost = true),
                    PartFreshness("settings/", 77, isLost = false),
                ),
            ),
            """
            0a35696f2e717565747a616c6669656c642e666f7277617264696e672e72656c61792e52656c61794d6573736167652e
            43757272656e741239080812120a06666c6565742f1080d0acf30e1801200012100a0a656e64706f696e74732f100018
            01120f0a0973657474696e67732f104d1800
            """,
        ),
        Sample(
            RelayMessage.State("lists/", emptyList()),
            """
            0a33696f2e717565747a616c6669656c642e666f7277617264696e672e72656c61792e52656c61794d6573736167652e
            537461746512080a066c697374732f
            """,
        ),
        Sample(
            RelayMessage.State("lists/", listOf(RelayedKey("lists/current", "{}", modified = 5, created = 2))),
            """
            0a33696f2e717565747a616c6669656c642e666f7277617264696e672e72656c61792e52656c61794d6573736167652e
            537461746512210a066c697374732f12170a0d6c697374732f63757272656e7412027b7d18052002
            """,
        ),
        Sample(
            RelayMessage.State(
                prefix = "settings/",
                keys = listOf(
                    RelayedKey("settings/config", "{\"name\":\"Övre\"}", modified = 70_000, created = 69_999),
                    RelayedKey("settings/empty", "", modified = 3, created = 3),
                    RelayedKey("settings/gone"),
                ),
            ),
            """
            0a33696f2e717565747a616c6669656c642e666f7277617264696e672e72656c61792e52656c61794d6573736167652e
            537461746512610a0973657474696e67732f122b0a0f73657474696e67732f636f6e66696712107b226e616d65223a22
            c396767265227d18f0a20420efa20412160a0e73657474696e67732f656d707479120018032003120f0a0d7365747469
            6e67732f676f6e65
            """,
        ),
        Sample(
            RelayMessage.Changes("lists/", emptyList()),
            """
            0a35696f2e717565747a616c6669656c642e666f7277617264696e672e72656c61792e52656c61794d6573736167652e
            4368616e67657312080a066c697374732f
            """,
        ),
        Sample(
            RelayMessage.Changes("lists/", listOf(RelayedKey("lists/orders/a"))),
            """
            0a35696f2e717565747a616c6669656c642e666f7277617264696e672e72656c61792e52656c61794d6573736167652e
            4368616e676573121a0a066c697374732f12100a0e6c697374732f6f72646572732f61
            """,
        ),
        Sample(
            RelayMessage.Changes(
                prefix = "fleet/",
                keys = listOf(
                    RelayedKey("fleet/members/a", "one", modified = 4_000_000_001, created = 9),
                    RelayedKey("fleet/members/b"),
                ),
            ),
            """
            0a35696f2e717565747a616c6669656c642e666f7277617264696e672e72656c61792e52656c61794d6573736167652e
            4368616e676573123b0a06666c6565742f121e0a0f666c6565742f6d656d626572732f6112036f6e651881d0acf30e20
            0912110a0f666c6565742f6d656d626572732f62
            """,
        ),
    )

    @Test
    fun `the samples contain each type of message`() {
        val types = setOf(
            RelayMessage.Ask::class,
            RelayMessage.Current::class,
            RelayMessage.State::class,
            RelayMessage.Changes::class,
        )
        assertEquals<Set<KClass<out RelayMessage>>>(types, samples.map { it.message::class }.toSet())
    }

    @Test
    fun `stored bytes are decoded to the expected message`() {
        samples.forEach { assertEquals(it.message, decodeRelayMessage(it.bytes)) }
    }

    @Test
    fun `messages are encoded to the stored bytes`() {
        samples.forEach { assertEquals(it.hexadecimal, HexFormat.of().formatHex(it.message.encode()), "${it.message}") }
    }
}
