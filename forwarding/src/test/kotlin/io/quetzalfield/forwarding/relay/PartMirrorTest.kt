package io.quetzalfield.forwarding.relay

import io.quetzalfield.store.StoreChange
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.StoredValue
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class PartMirrorTest {
    private val mirror = PartMirror()

    private fun stored(key: String, value: String, modified: Long) =
        StoredValue(key, value, StoreRevision(modified), StoreRevision(1))

    private fun known() = mirror.state.associate { it.key to it.value }

    @Test
    fun `replacing the state returns only the differences`() {
        mirror.replace(listOf(stored("a", "one", 3), stored("b", "two", 4)))
        val changes = mirror.replace(listOf(stored("b", "two", 4), stored("c", "three", 6)))
        assertEquals(listOf(StoreChange("a", null), StoreChange("c", stored("c", "three", 6))), changes)
        assertEquals(mapOf("b" to "two", "c" to "three"), known())
    }

    @Test
    fun `an older value never replaces a newer one`() {
        mirror.replace(listOf(stored("a", "new", 9)))
        assertFalse(mirror.update(StoreChange("a", stored("a", "old", 5))))
        assertEquals(emptyList(), mirror.replace(listOf(stored("a", "old", 5))))
        assertEquals(mapOf("a" to "new"), known())
    }

    @Test
    fun `a change that is already known is ignored`() {
        assertTrue(mirror.update(StoreChange("a", stored("a", "one", 3))))
        assertFalse(mirror.update(StoreChange("a", stored("a", "one", 3))))
        assertTrue(mirror.update(StoreChange("a", null)))
        assertFalse(mirror.update(StoreChange("a", null)))
    }

    @Test
    fun `the revision reached never decreases`() {
        mirror.advanceTo(StoreRevision(8))
        mirror.advanceTo(StoreRevision(5))
        assertEquals(StoreRevision(8), mirror.reached)
    }

    /** Load pattern: an instance that has just read everything compares its relay, whose watch has answered earlier. */
    @Nested
    inner class Behind {
        private val newer = PartMirror()

        private fun fill(mirror: PartMirror, reached: Long, vararg values: StoredValue) {
            mirror.replace(values.toList())
            mirror.advanceTo(StoreRevision(reached))
        }

        @Test
        fun `a copy that only lacks revisions of other keys is not behind`() {
            fill(mirror, 5, stored("a", "one", 3))
            fill(newer, 9, stored("a", "one", 3))
            assertFalse(mirror.isBehind(newer))
        }

        @Test
        fun `a copy that lacks a write, a new key or a removal is behind`() {
            fill(mirror, 5, stored("a", "one", 3))
            fill(newer, 9, stored("a", "two", 7))
            assertTrue(mirror.isBehind(newer))
            fill(newer, 9, stored("a", "one", 3), stored("b", "one", 8))
            assertTrue(mirror.isBehind(newer))
            fill(newer, 9)
            assertTrue(mirror.isBehind(newer))
        }

        @Test
        fun `a copy that has what the other has not seen yet is not behind`() {
            fill(mirror, 8, stored("a", "two", 8))
            fill(newer, 7, stored("a", "one", 3))
            assertFalse(mirror.isBehind(newer))
            fill(newer, 9, stored("a", "two", 8))
            mirror.update(StoreChange("c", stored("c", "later", 12)))
            assertFalse(mirror.isBehind(newer))
        }
    }
}
