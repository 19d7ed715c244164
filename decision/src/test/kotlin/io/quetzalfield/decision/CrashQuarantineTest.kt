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
    private val poison = fingerprintOf("poison")
    private val innocent = fingerprintOf("innocent")

    private fun gossip() {
        second.learn(InstanceId("entry-1"), first.reports())
        first.learn(InstanceId("entry-2"), second.reports())
    }

    private fun verdicts(fingerprint: RequestFingerprint) = listOf(first, second).map { it.begin(fingerprint) }

    @Nested
    inner class OneEntry {
        @Test
        fun `a request that crashes two runners is refused from then on`() {
            val lost = (1..10).count { attempt ->
                val runs = first.begin(poison) in setOf(CrashVerdict.ORDINARY, CrashVerdict.ISOLATED)
                if (runs) first.noteCrash(poison, RunnerId("runner-$attempt"))
                runs
            }
            assertEquals(2, lost)
            assertEquals(1, first.quarantinedCount)
        }

        @Test
        fun `an innocent that shared the runner runs alone and is cleared by its answer`() {
            first.noteCrash(innocent, RunnerId("runner-1"))
            assertEquals(CrashVerdict.ISOLATED, first.begin(innocent))
            assertEquals(CrashVerdict.BUSY_ELSEWHERE, first.begin(innocent))
            first.noteAnswer(innocent)
            assertEquals(CrashVerdict.ORDINARY, first.begin(innocent))
        }

        @Test
        fun `two copies on the runner that crashed count as one crash`() {
            repeat(2) { first.noteCrash(innocent, RunnerId("runner-1")) }
            assertEquals(CrashVerdict.ISOLATED, first.begin(innocent))
        }

        @Test
        fun `a quarantine ends`() {
            repeat(2) { first.noteCrash(poison, RunnerId("runner-$it")) }
            time += 60.minutes
            assertEquals(CrashVerdict.ORDINARY, first.begin(poison))
        }
    }

    @Nested
    inner class SeveralEntries {
        @Test
        fun `a suspect of one entry does not run at another`() {
            first.noteCrash(poison, RunnerId("runner-1"))
            gossip()
            assertEquals(listOf(CrashVerdict.ISOLATED, CrashVerdict.BUSY_ELSEWHERE), verdicts(poison))
        }

        @Test
        fun `two entries that lost the same runner give the suspect to one of them`() {
            listOf(first, second).forEach { it.noteCrash(poison, RunnerId("runner-1")) }
            gossip()
            assertEquals(listOf(CrashVerdict.ISOLATED, CrashVerdict.BUSY_ELSEWHERE), verdicts(poison))
        }

        @Test
        fun `a crash that a peer reported first counts once`() {
            first.noteCrash(innocent, RunnerId("runner-1"))
            gossip()
            second.noteCrash(innocent, RunnerId("runner-1"))
            gossip()
            assertEquals(listOf(CrashVerdict.ISOLATED, CrashVerdict.BUSY_ELSEWHERE), verdicts(innocent))
        }

        @Test
        fun `a quarantine holds everywhere`() {
            repeat(2) { first.noteCrash(poison, RunnerId("runner-$it")) }
            gossip()
            assertEquals(List(2) { CrashVerdict.QUARANTINED }, verdicts(poison))
        }

        @Test
        fun `a copy that crashed a runner at each of two entries is refused at both, however soon`() {
            first.noteCrash(poison, RunnerId("runner-1"))
            gossip()
            second.noteCrash(poison, RunnerId("runner-2"))
            gossip()
            assertEquals(listOf(true, true), listOf(first, second).map { it.isQuarantined(poison) })
        }

        @Test
        fun `two entries that learn of one another's crashes at once refuse the request`() {
            first.noteCrash(poison, RunnerId("runner-1"))
            second.noteCrash(poison, RunnerId("runner-2"))
            gossip()
            gossip()
            assertEquals(listOf(true, true), listOf(first, second).map { it.isQuarantined(poison) })
        }

        @Test
        fun `one crash that broke copies at two entries refuses nothing`() {
            listOf(first, second).forEach { it.noteCrash(innocent, RunnerId("runner-1")) }
            gossip()
            assertEquals(listOf(false, false), listOf(first, second).map { it.isQuarantined(innocent) })
        }

        @Test
        fun `a clearance reaches the others`() {
            first.noteCrash(innocent, RunnerId("runner-1"))
            gossip()
            first.begin(innocent)
            time += 1.seconds
            first.noteAnswer(innocent)
            gossip()
            assertEquals(List(2) { CrashVerdict.ORDINARY }, verdicts(innocent))
        }

        @Test
        fun `a suspect whose entry has died is tried by another`() {
            first.noteCrash(innocent, RunnerId("runner-1"))
            gossip()
            time += 2.minutes
            assertEquals(CrashVerdict.ISOLATED, second.begin(innocent))
        }
    }
}
