package io.quetzalfield.forwarding.relay

import io.quetzalfield.store.StoreChange
import io.quetzalfield.store.StoreEra
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.StoredValue
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class PartMirrorTest {
    private val timeSource = TestTimeSource()
    private val mirror = PartMirror(timeSource)

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

    /** Load pattern: the store is restored from a backup some seconds old, and its writers write again. */
    @Nested
    inner class Restored {
        private val second = StoreEra(2)
        private val third = StoreEra(3)

        private fun stored(key: String, value: String, era: StoreEra, number: Long) =
            StoredValue(key, value, StoreRevision.of(era, number), StoreRevision.of(era, 1))

        private fun at(era: StoreEra, number: Long = 50) = StoreRevision.of(era, number)

        /** In CONFIG and DRAIN, what was written after the return had a lower revision and was dropped. */
        @Test
        fun `a value of a later era replaces one with a higher number`() {
            mirror.replace(listOf(stored("a", "before", 90)))
            assertTrue(mirror.update(StoreChange("a", stored("a", "after", second, 40))))
            assertFalse(mirror.update(StoreChange("a", stored("a", "late", 95))))
            assertEquals(mapOf("a" to "after"), known())
        }

        @Test
        fun `a key that a restored store lacks stays for the time in which it may be written again`() {
            mirror.replace(listOf(stored("a", "one", 90)))
            assertEquals(emptyList(), mirror.replace(emptyList(), at(second)))
            timeSource += 3.seconds
            assertEquals(emptyList(), mirror.dropUnrestored(3.seconds))
            timeSource += 1.seconds
            assertEquals(listOf(StoreChange("a", null)), mirror.dropUnrestored(3.seconds))
            assertEquals(emptyList(), mirror.dropUnrestored(3.seconds))
        }

        @Test
        fun `a key that is written again stays, and one that is deleted again goes at once`() {
            mirror.replace(listOf(stored("a", "one", 90), stored("b", "one", 91)))
            mirror.replace(emptyList(), at(second))
            mirror.update(StoreChange("a", stored("a", "one", second, 60)))
            assertTrue(mirror.update(StoreChange("b", null)))
            timeSource += 10.seconds
            assertEquals(emptyList(), mirror.dropUnrestored(3.seconds))
            assertEquals(mapOf("a" to "one"), known())
        }

        @Test
        fun `a key that was written in the same era and is gone is removed at once`() {
            mirror.replace(listOf(stored("a", "one", second, 40)), at(second))
            assertEquals(listOf(StoreChange("a", null)), mirror.replace(emptyList(), at(second, 60)))
        }

        @Test
        fun `after a second restoration the time begins anew, listings in between do not extend it`() {
            mirror.replace(listOf(stored("a", "one", 90)))
            mirror.replace(emptyList(), at(second))
            timeSource += 2.seconds
            mirror.replace(emptyList(), at(third))
            timeSource += 2.seconds
            assertEquals(emptyList(), mirror.dropUnrestored(3.seconds))
            mirror.replace(emptyList(), at(third, 70))
            timeSource += 2.seconds
            assertEquals(listOf(StoreChange("a", null)), mirror.dropUnrestored(3.seconds))
        }
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
        fun `a copy of an earlier era is behind, one of a later era is not`() {
            val restored = StoredValue("a", "two", StoreRevision.of(StoreEra(2), 2), StoreRevision(1))
            fill(mirror, 50, stored("a", "one", 40))
            newer.replace(listOf(restored))
            newer.advanceTo(StoreRevision.of(StoreEra(2), 3))
            assertTrue(mirror.isBehind(newer))
            assertFalse(newer.isBehind(mirror))
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
