package io.quetzalfield.decision

import io.quetzalfield.model.RunnerId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class PrefixCacheTrackerTest {
    private val time = TestTimeSource()
    private val tracker = PrefixCacheTracker(PrefixCacheRetention(capacity = 3), time)
    private val runner = RunnerId("runner-1")

    private fun record(vararg changes: PrefixCacheChange): Set<Long> {
        tracker.record(runner, changes.toList())
        return tracker.prefixes(runner)
    }

    private fun stored(sequence: Long, prefix: Long) = PrefixCacheChange(sequence, prefix, isStored = true)

    private fun evicted(sequence: Long, prefix: Long) = PrefixCacheChange(sequence, prefix, isStored = false)

    @Test
    fun `a delayed change does not overwrite a newer one`() {
        assertEquals(emptySet(), record(evicted(2, 10)))
        assertEquals(emptySet(), record(stored(1, 10)))
        assertEquals(setOf(10L), record(stored(3, 10)))
    }

    @Test
    fun `after a gap the prefixes known before it expire early`() {
        record(stored(1, 10))
        record(stored(5, 20))
        time += 31.seconds
        assertEquals(setOf(20L), record())
    }

    @Test
    fun `the number of tracked prefixes is bounded`() {
        assertEquals(setOf(2L, 3L, 4L), record(stored(1, 1), stored(2, 2), stored(3, 3), stored(4, 4)))
    }
}
