package io.quetzalfield.forwarding.relay

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/** Load pattern: a relay falls silent, is paused or cut off right before a change that all must know within 2 s. */
class SourceChoiceTest {
    private val time = TestTimeSource()
    private val choice = SourceChoice()

    private fun goodAnswersFor(duration: Duration) = repeat((duration / 250.milliseconds).toInt()) {
        choice.noteGood(time.markNow())
        time += 250.milliseconds
    }

    @Nested
    inner class Reading {
        @Test
        fun `an instance without a relay reads`() {
            assertTrue(choice.isReader(isReading = true))
            assertTrue(choice.isReader(isReading = false))
        }

        @Test
        fun `it reads on until its relay has been good for a while`() {
            goodAnswersFor(750.milliseconds)
            assertTrue(choice.isReader(isReading = true))
            goodAnswersFor(500.milliseconds)
            assertFalse(choice.isReader(isReading = true))
        }

        @Test
        fun `it reads again within a second of the relay's last good answer`() {
            goodAnswersFor(2_000.milliseconds)
            time += 400.milliseconds
            assertFalse(choice.isReader(isReading = false))
            time += 300.milliseconds
            assertTrue(choice.isReader(isReading = false))
        }

        @Test
        fun `a relay that comes and goes is not relied on`() {
            repeat(5) {
                goodAnswersFor(500.milliseconds)
                time += 800.milliseconds
                choice.noteGood(time.markNow())
                assertTrue(choice.isReader(isReading = true))
            }
        }

        @Test
        fun `an answer counts from its question, however late it comes`() {
            val asked = time.markNow()
            time += 800.milliseconds
            choice.noteGood(asked)
            assertFalse(choice.isCovered)
        }
    }

    @Nested
    inner class Answers {
        private fun isGood(isMate: Boolean, vararg parts: PartCurrency) = SourceChoice.isGood(parts.toList(), isMate)

        private fun part(ageMilliseconds: Long? = null, isLost: Boolean = false) =
            PartCurrency("lists/", reached = 5, isLost = isLost, confirmedMillisecondsAgo = ageMilliseconds)

        @Test
        fun `a part that is lost or was confirmed too long ago is not good`() {
            assertTrue(isGood(false, part(), part(1_500)))
            assertFalse(isGood(false, part(), part(1_501)))
            assertFalse(isGood(false, part(isLost = true), part(10)))
            assertFalse(isGood(false))
        }

        @Test
        fun `a relay that is told by another one may be a little older, within the two seconds for a change`() {
            assertEquals(listOf(true, false), listOf(2_200L, 2_201L).map { isGood(true, part(it)) })
        }
    }
}
