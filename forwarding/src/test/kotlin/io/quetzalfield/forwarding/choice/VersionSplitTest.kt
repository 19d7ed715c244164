package io.quetzalfield.forwarding.choice

import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.endpoints.description
import io.quetzalfield.model.ServiceId
import io.quetzalfield.model.SessionId
import io.quetzalfield.model.VersionId
import io.quetzalfield.store.StoreEra
import io.quetzalfield.store.StoreRevision
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
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
        RolloutStep(service, VersionId("v2"), StoreRevision(revision), phase, share)

    /** Load pattern: the store is restored, and the operator writes the order again at a lower number. */
    @Nested
    inner class Restored {
        private val first = StoreRevision.of(StoreEra(1), 90)
        private val again = StoreRevision.of(StoreEra(2), 40)

        private fun step(revision: StoreRevision, share: Double, phase: RolloutPhase = RolloutPhase.RUNNING) =
            RolloutStep(service, VersionId("v2"), revision, phase, share)

        private fun newShare() = (1..1_000).count { versionsOf("session-$it").toSet() == setOf("v2") } / 1_000.0

        private fun begin(step: RolloutStep) {
            split.applyOrder(service, VersionId("v2"), first)
            split.applyStep(step)
        }

        /** In EXPOSURE, the steps of the order that was written again were ignored, as its revision was lower. */
        @Test
        fun `the steps of an order that is written again are followed`() {
            begin(step(first, share = 0.0))
            split.applyOrder(service, VersionId("v2"), again)
            assertTrue(split.applyStep(step(again, share = 0.3)))
            assertEquals(0.3, newShare(), absoluteTolerance = 0.05)
        }

        @Test
        fun `the share and the end of an order are kept while its next step is not known`() {
            begin(step(first, share = 0.3))
            split.applyOrder(service, VersionId("v2"), again)
            assertEquals(0.3, newShare(), absoluteTolerance = 0.05)
            split.applyStep(step(again, share = 0.0, RolloutPhase.REVERTED))
            split.applyOrder(service, VersionId("v2"), StoreRevision.of(StoreEra(3), 20))
            assertEquals(0.0, newShare())
        }

        @Test
        fun `an earlier step of the same order in the backup does not take progress back`() {
            begin(step(first, share = 0.3))
            assertFalse(split.applyStep(step(first, share = 0.1)))
            assertTrue(split.applyStep(step(first, share = 1.0)))
            split.applyOrder(service, VersionId("v2"), again)
            assertFalse(split.applyStep(step(again, share = 0.3)))
            assertFalse(split.applyStep(step(first, share = 1.0, RolloutPhase.COMPLETE)))
        }

        @Test
        fun `an order for another version or of the same era begins anew`() {
            begin(step(first, share = 0.3))
            split.applyOrder(service, VersionId("v2"), StoreRevision.of(StoreEra(1), 95))
            assertEquals(0.0, newShare())
            split.applyOrder(service, VersionId("v3"), again)
            assertEquals(0.0, newShare())
        }
    }

    private fun versionsOf(session: String, candidates: List<Endpoint> = old + new) =
        split.filter(service, RolloutSubject(session, isSession = true), candidates).map {
            it.description.version.value
        }.toSet()

    private fun newShare(): Double = (1..2_000).count { versionsOf("session-$it") == setOf("v2") } / 2_000.0

    @Nested
    inner class BeforeTheFirstStep {
        @Test
        fun `a new version without an order gets no requests until it has been known for a while`() {
            versionsOf("any", old)
            timeSource += 1.milliseconds
            assertEquals(setOf("v1"), versionsOf("any"))
            timeSource += VersionSplit.Settling + 1.milliseconds
            assertEquals(setOf("v1", "v2"), versionsOf("any"))
        }

        @Test
        fun `an ordered version gets no requests before its first step`() {
            split.applyOrder(service, VersionId("v2"), StoreRevision(7))
            assertEquals(0.0, newShare())
        }
    }

    @Nested
    inner class Running {
        @Test
        fun `the version gets its share, and keeps its sessions as the share grows`() {
            split.applyOrder(service, VersionId("v2"), StoreRevision(7))
            split.applyStep(step(0.1))
            val before = (1..500).filter { versionsOf("session-$it") == setOf("v2") }
            assertEquals(0.1, newShare(), absoluteTolerance = 0.03)
            split.applyStep(step(0.5))
            assertTrue(before.all { versionsOf("session-$it") == setOf("v2") })
        }

        @Test
        fun `a step of an older order changes nothing`() {
            split.applyOrder(service, VersionId("v2"), StoreRevision(7))
            split.applyStep(step(0.1))
            assertFalse(split.applyStep(step(1.0, revision = 6)))
        }
    }

    /**
     * Load pattern: sessions are active at all instances when the first share takes effect, and continue at any of
     * them; the steps reach the instances one after the other.
     */
    @Nested
    inner class SessionsUnderWayAtManyInstances {
        private inner class Instance {
            val sessions = ActiveSessions(timeSource)
            val holds = SessionHolds()
            val split = VersionSplit(timeSource, sessions = sessions, holds = holds)

            fun send(session: String): VersionId {
                val version = split.filter(service, RolloutSubject(session, isSession = true), old + new)
                    .map { it.description.version }.distinct().single()
                sessions.requestSent(service, SessionId(session), version, isRepeat = false)
                sessions.requestEnded(service, SessionId(session))
                return version
            }
        }

        private val instances = List(24) { Instance() }.also { all ->
            for (one in all) one.holds.onHeld = { held -> all.forEach { if (it !== one) it.holds.addRemote(held) } }
        }

        private fun step(share: Double, firstShare: Double) =
            RolloutStep(service, VersionId("v2"), StoreRevision(7), RolloutPhase.RUNNING, share, firstShare)

        /** Sends requests of random sessions at random instances; counts those that changed a session's version. */
        private fun Random.simulate(sends: Int, names: Int, versions: MutableMap<String, VersionId>): Int =
            (1..sends).count {
                timeSource += 3.milliseconds
                val session = "session-${nextInt(names)}"
                val version = instances.random(this).send(session)
                versions.put(session, version).let { it != null && it != version }
            }

        @ParameterizedTest
        @ValueSource(ints = [1, 2, 3, 4, 5, 6, 7, 8])
        fun `no session changes its version in the first half`(seed: Int) {
            val random = Random(seed)
            val versions = HashMap<String, VersionId>()
            instances.forEach { it.split.applyOrder(service, VersionId("v2"), StoreRevision(7)) }
            var moved = random.simulate(1_000, 500, versions)
            for (one in instances) {
                one.split.applyStep(step(share = 0.0, firstShare = 0.1))
                moved += random.simulate(5, 500, versions)
            }
            // New sessions arrive while the share is announced and while it is in effect.
            moved += random.simulate(600, 800, versions)
            instances.forEach { it.split.applyStep(step(share = 0.1, firstShare = 0.1)) }
            moved += random.simulate(2_000, 2_000, versions)
            assertEquals(0, moved)
            assertTrue(versions.values.count { it == VersionId("v2") } > 50, "the new version gets sessions")
        }

        @Test
        fun `held sessions move to the new version as the share grows`() {
            val names = (1..2_000).map { "session-$it" }
            instances.forEach { it.split.applyOrder(service, VersionId("v2"), StoreRevision(7)) }
            names.forEach { instances.random(Random(1)).send(it) }
            instances.forEach { it.split.applyStep(step(share = 0.0, firstShare = 0.1)) }
            instances.forEach { it.split.applyStep(step(share = 0.1, firstShare = 0.1)) }
            assertTrue(names.all { instances.last().send(it) == VersionId("v1") })
            instances.forEach { it.split.applyStep(step(share = 1.0, firstShare = 0.1)) }
            assertTrue(names.all { instances.last().send(it) == VersionId("v2") })
        }

        @Test
        fun `a session that arrives before the new version's endpoints are known is held`() {
            val one = instances.first()
            one.split.applyOrder(service, VersionId("v2"), StoreRevision(7))
            one.split.applyStep(step(share = 0.0, firstShare = 1.0))
            val subject = RolloutSubject("session-1", isSession = true)
            one.split.filter(service, subject, old)
            instances.last().split.applyOrder(service, VersionId("v2"), StoreRevision(7))
            instances.last().split.applyStep(step(share = 1.0, firstShare = 1.0))
            assertEquals(VersionId("v1"), instances.last().send("session-1"))
        }

        @Test
        fun `holds of another order are ignored`() {
            val one = instances.first()
            one.split.applyOrder(service, VersionId("v2"), StoreRevision(7))
            one.split.applyStep(step(share = 1.0, firstShare = 1.0))
            val hash = RolloutSubject("session-1", isSession = true).hash
            one.holds.addRemote(HeldSessions(service, orderRevision = StoreRevision(6), listOf(hash)))
            assertEquals(VersionId("v2"), one.send("session-1"))
        }
    }

    @Nested
    inner class Ended {
        @Test
        fun `a reverted version gets no requests, even when no other version is left`() {
            split.applyOrder(service, VersionId("v2"), StoreRevision(7))
            split.applyStep(step(0.3))
            split.applyStep(step(0.0, RolloutPhase.REVERTED))
            assertEquals(0.0, newShare())
            assertEquals(emptySet(), versionsOf("any", new))
        }

        @Test
        fun `a final phase is final for its order`() {
            split.applyOrder(service, VersionId("v2"), StoreRevision(7))
            split.applyStep(step(0.0, RolloutPhase.REVERTED))
            assertFalse(split.applyStep(step(0.3)))
        }

        /** The pace of a completed version is the baseline of the next roll-out. */
        @Test
        fun `a version whose roll-out is complete is not being rolled out`() {
            split.applyOrder(service, VersionId("v2"), StoreRevision(7))
            split.applyStep(step(0.3))
            assertEquals(step(0.3), split.runningStepOf(service))
            split.applyStep(step(1.0, RolloutPhase.COMPLETE))
            assertNull(split.runningStepOf(service))
            assertFalse(split.isComparing(service))
        }

        @Test
        fun `a completed version gets all requests`() {
            split.applyOrder(service, VersionId("v2"), StoreRevision(7))
            split.applyStep(step(1.0, RolloutPhase.COMPLETE))
            assertEquals(1.0, newShare())
        }
    }
}
