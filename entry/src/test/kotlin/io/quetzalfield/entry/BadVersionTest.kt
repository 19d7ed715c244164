package io.quetzalfield.entry

import io.quetzalfield.model.NotRun
import io.quetzalfield.model.RefusalReason
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class BadVersionTest {
    private fun EmbeddedFleet.completeAndRate(pin: SessionPin? = null): CompletionReport? {
        val report = ask("question", tokens = 2, pin = pin).result.getOrNull()
        control.exchangeRatings()
        control.rollouts.check()
        return report
    }

    @Test
    fun `a version whose answers fail is stopped for new requests and for its sessions`() {
        EmbeddedFleet(runnerCount = 2, newShare = 0.3, hasPassed = { it.source == OLD }).use { fleet ->
            val versions = List(120) { assertNotNull(fleet.completeAndRate()).version }
            assertTrue(versions.count { it == NEW } in 1..40, "${versions.count { it == NEW }} answers of $NEW")
            assertEquals(listOf(OLD), versions.takeLast(20).distinct())
            val refused = assertIs<NotRun>(fleet.ask("next", pin = fleet.pinTo(NEW)).result.leftOrNull())
            assertEquals(RefusalReason.VERSION_WITHDRAWN, refused.refusal)
            assertTrue(fleet.ask("next", pin = fleet.pinTo(OLD)).result.isRight())
        }
    }

    @Test
    fun `a version as good as the previous one keeps its share`() {
        EmbeddedFleet(runnerCount = 2, newShare = 0.5).use { fleet ->
            val versions = List(100) { assertNotNull(fleet.completeAndRate()).version }
            assertTrue(versions.count { it == NEW } in 30..70)
            assertTrue(fleet.ask("next", pin = fleet.pinTo(NEW)).result.isRight())
        }
    }
}
