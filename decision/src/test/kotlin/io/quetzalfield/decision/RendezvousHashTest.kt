package io.quetzalfield.decision

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.AlphaChars
import net.jqwik.api.constraints.StringLength
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private val MEMBERS = listOf("entry-1", "entry-2", "entry-3", "entry-4", "entry-5")

class RendezvousHashTest {
    @Nested
    inner class Order {
        @Test
        fun `keys are distributed evenly over the members`() {
            val counts = (1..10_000).groupingBy { rendezvousOrder("key-$it", MEMBERS) { name -> name }.first() }
                .eachCount()
            assertTrue(counts.values.all { it in 1_800..2_200 }, "$counts")
        }
    }
}

class RendezvousHashPropertyTest {
    @Property(tries = 500)
    fun `removing a member changes the first member only for the keys that had it first`(
        @ForAll @AlphaChars @StringLength(min = 1, max = 20) key: String,
    ) {
        val order = rendezvousOrder(key, MEMBERS) { it }
        val withoutLast = rendezvousOrder(key, MEMBERS - order.last()) { it }
        assertEquals(order.dropLast(1), withoutLast)
    }
}
