package io.quetzalfield.forwarding.relay

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/**
 * Load pattern: a relay stops answering, is paused or is disconnected right before a change that all instances must
 * know within 2 s.
 */
class SourceChoiceTest {
    private val time = TestTimeSource()
    private val choice = SourceChoice()

    private fun goodAnswersFor(duration: Duration) = repeat((duration / 250.milliseconds).toInt()) {
        choice.recordGoodAnswer(time.markNow())
        time += 250.milliseconds
    }

    @Nested
    inner class Reading {
        @Test
        fun `an instance without a relay reads the store`() {
            assertTrue(choice.isReader(isReading = true))
            assertTrue(choice.isReader(isReading = false))
        }

        @Test
        fun `an instance reads the store until its relay has given good answers for the settling time`() {
            goodAnswersFor(750.milliseconds)
            assertTrue(choice.isReader(isReading = true))
            goodAnswersFor(500.milliseconds)
            assertFalse(choice.isReader(isReading = true))
        }

        @Test
        fun `an instance reads the store again within a second of the last good answer of its relay`() {
            goodAnswersFor(2_000.milliseconds)
            time += 400.milliseconds
            assertFalse(choice.isReader(isReading = false))
            time += 300.milliseconds
            assertTrue(choice.isReader(isReading = false))
        }

        @Test
        fun `an instance keeps reading the store while its relay is intermittent`() {
            repeat(5) {
                goodAnswersFor(500.milliseconds)
                time += 800.milliseconds
                choice.recordGoodAnswer(time.markNow())
                assertTrue(choice.isReader(isReading = true))
            }
        }

        @Test
        fun `the age of an answer counts from the query, however late the answer is received`() {
            val asked = time.markNow()
            time += 800.milliseconds
            choice.recordGoodAnswer(asked)
            assertFalse(choice.isRelayCurrent)
        }
    }

    @Nested
    inner class Answers {
        private fun isGood(isSameDomain: Boolean, vararg parts: PartFreshness) =
            SourceChoice.isGood(parts.toList(), isSameDomain)

        private fun part(ageMilliseconds: Long? = null, isLost: Boolean = false) =
            PartFreshness("lists/", reached = 5, isLost = isLost, confirmedMillisecondsAgo = ageMilliseconds)

        @Test
        fun `an answer with a part that is lost or was confirmed too long ago is not good`() {
            assertTrue(isGood(false, part(), part(1_500)))
            assertFalse(isGood(false, part(), part(1_501)))
            assertFalse(isGood(false, part(isLost = true), part(10)))
            assertFalse(isGood(false))
        }

        @Test
        fun `a relay that itself uses a relay may be a little less current, within the two seconds for a change`() {
            assertEquals(listOf(true, false), listOf(2_200L, 2_201L).map { isGood(true, part(it)) })
        }
    }
}
