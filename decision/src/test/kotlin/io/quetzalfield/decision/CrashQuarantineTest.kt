package io.quetzalfield.decision

import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.RequestFingerprint
import io.quetzalfield.model.RunnerId
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class CrashQuarantineTest {
    private val time = TestTimeSource()
    private val first = CrashQuarantine(InstanceId("entry-1"), timeSource = time)
    private val second = CrashQuarantine(InstanceId("entry-2"), timeSource = time)
    private val crashing = fingerprintOf("poison")
    private val harmless = fingerprintOf("innocent")

    private fun exchangeReports() {
        second.merge(InstanceId("entry-1"), first.reports())
        first.merge(InstanceId("entry-2"), second.reports())
    }

    private fun verdicts(fingerprint: RequestFingerprint) = listOf(first, second).map { it.begin(fingerprint) }

    @Nested
    inner class OneEntry {
        @Test
        fun `a request that crashes two runners is refused from then on`() {
            val lost = (1..10).count { attempt ->
                val runs = first.begin(crashing) in setOf(CrashVerdict.ORDINARY, CrashVerdict.ISOLATED)
                if (runs) first.recordCrash(crashing, RunnerId("runner-$attempt"))
                runs
            }
            assertEquals(2, lost)
            assertEquals(1, first.quarantinedCount)
        }

        @Test
        fun `a harmless request that shared the runner runs in isolation and is cleared by its answer`() {
            first.recordCrash(harmless, RunnerId("runner-1"))
            assertEquals(CrashVerdict.ISOLATED, first.begin(harmless))
            assertEquals(CrashVerdict.BUSY_ELSEWHERE, first.begin(harmless))
            first.recordAnswer(harmless)
            assertEquals(CrashVerdict.ORDINARY, first.begin(harmless))
        }

        @Test
        fun `two copies on the runner that crashed count as one crash`() {
            repeat(2) { first.recordCrash(harmless, RunnerId("runner-1")) }
            assertEquals(CrashVerdict.ISOLATED, first.begin(harmless))
        }

        @Test
        fun `a quarantine expires`() {
            repeat(2) { first.recordCrash(crashing, RunnerId("runner-$it")) }
            time += 60.minutes
            assertEquals(CrashVerdict.ORDINARY, first.begin(crashing))
        }
    }

    @Nested
    inner class SeveralEntries {
        @Test
        fun `a suspect of one entry does not run on another`() {
            first.recordCrash(crashing, RunnerId("runner-1"))
            exchangeReports()
            assertEquals(listOf(CrashVerdict.ISOLATED, CrashVerdict.BUSY_ELSEWHERE), verdicts(crashing))
        }

        @Test
        fun `of two entries that lost the same runner only one runs the suspect`() {
            listOf(first, second).forEach { it.recordCrash(crashing, RunnerId("runner-1")) }
            exchangeReports()
            assertEquals(listOf(CrashVerdict.ISOLATED, CrashVerdict.BUSY_ELSEWHERE), verdicts(crashing))
        }

        @Test
        fun `a crash that a peer has already reported counts once`() {
            first.recordCrash(harmless, RunnerId("runner-1"))
            exchangeReports()
            second.recordCrash(harmless, RunnerId("runner-1"))
            exchangeReports()
            assertEquals(listOf(CrashVerdict.ISOLATED, CrashVerdict.BUSY_ELSEWHERE), verdicts(harmless))
        }

        @Test
        fun `a quarantine applies on every entry`() {
            repeat(2) { first.recordCrash(crashing, RunnerId("runner-$it")) }
            exchangeReports()
            assertEquals(List(2) { CrashVerdict.QUARANTINED }, verdicts(crashing))
        }

        @Test
        fun `a request that crashed a runner on each of two entries is refused on both, even if soon after`() {
            first.recordCrash(crashing, RunnerId("runner-1"))
            exchangeReports()
            second.recordCrash(crashing, RunnerId("runner-2"))
            exchangeReports()
            assertEquals(listOf(true, true), listOf(first, second).map { it.isQuarantined(crashing) })
        }

        @Test
        fun `two entries that exchange reports of different crashes at the same time refuse the request`() {
            first.recordCrash(crashing, RunnerId("runner-1"))
            second.recordCrash(crashing, RunnerId("runner-2"))
            exchangeReports()
            exchangeReports()
            assertEquals(listOf(true, true), listOf(first, second).map { it.isQuarantined(crashing) })
        }

        @Test
        fun `one crash that affects copies on two entries causes no refusal`() {
            listOf(first, second).forEach { it.recordCrash(harmless, RunnerId("runner-1")) }
            exchangeReports()
            assertEquals(listOf(false, false), listOf(first, second).map { it.isQuarantined(harmless) })
        }

        @Test
        fun `a clearance reaches the other entries`() {
            first.recordCrash(harmless, RunnerId("runner-1"))
            exchangeReports()
            first.begin(harmless)
            time += 1.seconds
            first.recordAnswer(harmless)
            exchangeReports()
            assertEquals(List(2) { CrashVerdict.ORDINARY }, verdicts(harmless))
        }

        @Test
        fun `a suspect of a failed entry is run by another entry`() {
            first.recordCrash(harmless, RunnerId("runner-1"))
            exchangeReports()
            time += 2.minutes
            assertEquals(CrashVerdict.ISOLATED, second.begin(harmless))
        }
    }
}
