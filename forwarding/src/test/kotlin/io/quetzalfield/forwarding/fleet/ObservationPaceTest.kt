package io.quetzalfield.forwarding.fleet

import io.quetzalfield.model.ServiceId
import io.quetzalfield.model.VersionId
import io.quetzalfield.store.StoreRevision
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Load pattern: a roll-out of 24 s, of which each instance sees a few requests a second, few of the new version. */
class ObservationPaceTest {
    private val time = TestTimeSource()
    private val pace = ObservationPace(time)
    private val old = VersionId("v1")
    private val new = VersionId("v2")
    private val order = RolloutOrder(ServiceId("service"), new, 20.seconds, StoreRevision(7))

    private fun seen(ofOld: Long, ofNew: Long) = ObservationRecord(
        mapOf(old to ObservationRecord.Counts(ofOld, 0, 0), new to ObservationRecord.Counts(ofNew, 0, 0)),
    )

    /** Returns the writes of an instance that sees an answer of the old version each second, and [ofNew] of the new. */
    private fun writes(members: Int, ofNew: (Long) -> Long = { 0 }): Int = (1L..24).count { second ->
        time += 1.seconds
        val current = seen(second, ofNew(second))
        pace.isDue(order, current, members).also { if (it) pace.recordStored(order, current) }
    }

    @Nested
    inner class VersionBefore {
        @Test
        fun `an instance of a large fleet stores it every few seconds`() {
            assertEquals(5, writes(members = 76))
        }

        @Test
        fun `an instance of a fleet of 26 stores it every two seconds`() {
            assertEquals(12, writes(members = 26))
        }

        @Test
        fun `an instance of a small fleet stores it every second`() {
            assertEquals(24, writes(members = 5))
        }
    }

    @Nested
    inner class NewVersion {
        @Test
        fun `every answer of the new version is stored at once, whatever the number of instances`() {
            assertEquals(24, writes(members = 300, ofNew = { it }))
        }

        @Test
        fun `that a step has been applied is stored at once, whatever the number of instances`() {
            val before = seen(1, 1).copy(appliedStep = AppliedStep(order.revision, 3))
            pace.recordStored(order, before)
            assertFalse(pace.isDue(order, before, members = 300))
            val after = before.copy(appliedStep = AppliedStep(order.revision, 4))
            assertTrue(pace.isDue(order, after, members = 300))
        }

        @Test
        fun `another order begins anew`() {
            pace.recordStored(order, seen(1, 1))
            pace.retain(emptyList())
            assertTrue(pace.isDue(order, seen(1, 1), members = 300))
        }
    }
}
