package io.quetzalfield.forwarding.choice

import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.endpoints.description
import io.quetzalfield.model.ServiceId
import io.quetzalfield.model.VersionId
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

class VersionSplitTest {
    private val service = ServiceId("advisor")
    private val timeSource = TestTimeSource()
    private val split = VersionSplit(timeSource)
    private val old = listOf(Endpoint(description("old-1")), Endpoint(description("old-2", port = 2)))
    private val new = listOf(Endpoint(description("new-1", port = 3, version = "v2")))

    private fun step(share: Double, phase: RolloutPhase = RolloutPhase.RUNNING, revision: Long = 7) =
        RolloutStep(service, VersionId("v2"), revision, phase, share)

    private fun versionsOf(subject: String, candidates: List<Endpoint> = old + new) =
        split.filter(service, subject, candidates).map { it.description.version.value }.toSet()

    private fun newShare(): Double = (1..2_000).count { versionsOf("session-$it") == setOf("v2") } / 2_000.0

    @Nested
    inner class BeforeTheFirstStep {
        @Test
        fun `a new version without an order gets nothing until it has been known for a while`() {
            versionsOf("any", old)
            timeSource += 1.milliseconds
            assertEquals(setOf("v1"), versionsOf("any"))
            timeSource += VersionSplit.Settling + 1.milliseconds
            assertEquals(setOf("v1", "v2"), versionsOf("any"))
        }

        @Test
        fun `an ordered version gets nothing before its first step`() {
            split.takeOrder(service, VersionId("v2"), 7)
            assertEquals(0.0, newShare())
        }
    }

    @Nested
    inner class Running {
        @Test
        fun `the version gets its share, and a session stays on its side as the share grows`() {
            split.takeOrder(service, VersionId("v2"), 7)
            split.takeStep(step(0.1))
            val before = (1..500).filter { versionsOf("session-$it") == setOf("v2") }
            assertEquals(0.1, newShare(), absoluteTolerance = 0.03)
            split.takeStep(step(0.5))
            assertTrue(before.all { versionsOf("session-$it") == setOf("v2") })
        }

        @Test
        fun `a step of an older order changes nothing`() {
            split.takeOrder(service, VersionId("v2"), 7)
            split.takeStep(step(0.1))
            assertFalse(split.takeStep(step(1.0, revision = 6)))
        }
    }

    @Nested
    inner class Ended {
        @Test
        fun `a version that was taken back gets nothing, also when no other is left`() {
            split.takeOrder(service, VersionId("v2"), 7)
            split.takeStep(step(0.3))
            split.takeStep(step(0.0, RolloutPhase.REVERTED))
            assertEquals(0.0, newShare())
            assertEquals(emptySet(), versionsOf("any", new))
        }

        @Test
        fun `an end is final for its order`() {
            split.takeOrder(service, VersionId("v2"), 7)
            split.takeStep(step(0.0, RolloutPhase.REVERTED))
            assertFalse(split.takeStep(step(0.3)))
        }

        @Test
        fun `a completed version gets everything`() {
            split.takeOrder(service, VersionId("v2"), 7)
            split.takeStep(step(1.0, RolloutPhase.COMPLETE))
            assertEquals(1.0, newShare())
        }
    }
}
