package io.quetzalfield.forwarding.relay

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/** Load pattern: an instance starts alone, as the first of many, as one of many, and while no other answers. */
class StartPhaseTest {
    private val time = TestTimeSource()
    private val phase = StartPhase(time)

    private fun mustReadAll(
        isListRead: Boolean = true,
        hasOthers: Boolean = true,
        isListed: Boolean = true,
        hasTarget: Boolean = true,
    ) = phase.mustReadAll(isListRead, hasOthers, isListed, hasTarget)

    @Test
    fun `an instance without others reads everything at once`() =
        assertTrue(mustReadAll(hasOthers = false, isListed = false, hasTarget = false))

    @Test
    fun `the first of many reads everything as soon as it knows that it is the first`() {
        assertFalse(mustReadAll(isListed = false, hasTarget = false))
        assertTrue(mustReadAll(hasTarget = false))
    }

    @Test
    fun `one of many asks another, and reads everything itself if that takes long`() {
        assertFalse(mustReadAll())
        time += StartPhase.Patience
        assertFalse(mustReadAll())
        time += 1.milliseconds
        assertTrue(mustReadAll())
    }

    @Test
    fun `an instance whose first call takes long still asks another`() {
        time += 1_500.milliseconds
        assertFalse(mustReadAll(isListRead = false, hasOthers = false, isListed = false, hasTarget = false))
        assertFalse(mustReadAll())
        time += StartPhase.Patience + 1.milliseconds
        assertTrue(mustReadAll())
    }

    @Test
    fun `an instance that cannot read the list tries everything after a while`() {
        assertFalse(mustReadAll(isListRead = false, hasOthers = false, isListed = false, hasTarget = false))
        time += StartPhase.ListPatience + 1.milliseconds
        assertTrue(mustReadAll(isListRead = false, hasOthers = false, isListed = false, hasTarget = false))
    }
}
