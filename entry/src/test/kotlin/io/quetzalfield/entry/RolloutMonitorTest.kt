package io.quetzalfield.entry

import io.quetzalfield.decision.RolloutObservations
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.ModelVersionReference
import kotlin.test.Test
import kotlin.test.assertEquals

class RolloutMonitorTest {
    private class FakePeers(private val sums: Map<ModelVersionReference, RolloutObservations>) : RolloutPeers {
        val reportedStops = mutableListOf<ModelVersionReference>()

        override fun observations() = sums

        var isReachable = true

        override fun notifyStop(version: ModelVersionReference, reason: String, revision: ListsRevision): Boolean {
            reportedStops += version
            return isReachable
        }
    }

    private val lists = ListsHolder().apply { adopt(listsWith(revision = 1, newShare = 0.1)) }
    private val observations = ObservationBook()

    private fun monitor(peers: RolloutPeers) = RolloutMonitor(lists, observations, peers, EntryMetrics())

    private fun rate(version: ModelVersionReference, passed: Int, failed: Int) {
        repeat(passed) { observations.noteRating(version, hasPassed = true) }
        repeat(failed) { observations.noteRating(version, hasPassed = false) }
    }

    @Test
    fun `a bad version is stopped locally and reported to the peers`() {
        val peers = FakePeers(emptyMap())
        val monitor = monitor(peers)
        rate(OLD, passed = 180, failed = 20)
        rate(NEW, passed = 12, failed = 18)
        monitor.check()
        assertEquals(setOf(NEW), monitor.stoppedVersions(lists.snapshot))
        assertEquals(listOf(NEW), peers.reportedStops)
    }

    @Test
    fun `a stop that did not reach all peers is reported again`() {
        val peers = FakePeers(emptyMap()).apply { isReachable = false }
        val monitor = monitor(peers)
        rate(OLD, passed = 180, failed = 20)
        rate(NEW, passed = 12, failed = 18)
        monitor.check()
        peers.isReachable = true
        repeat(3) { monitor.check() }
        assertEquals(listOf(NEW, NEW), peers.reportedStops)
    }

    @Test
    fun `the observations of peers count as well`() {
        val sums = mapOf(
            OLD to RolloutObservations(rated = 200, passed = 180),
            NEW to RolloutObservations(rated = 25, passed = 10),
        )
        val monitor = monitor(FakePeers(sums))
        rate(NEW, passed = 2, failed = 3)
        monitor.check()
        assertEquals(setOf(NEW), monitor.stoppedVersions(lists.snapshot))
    }

    @Test
    fun `a stop lasts until lists of a later revision end the roll-out`() {
        val monitor = monitor(FakePeers(emptyMap()))
        monitor.applyReportedStop(NEW, "ratings", ListsRevision(1))
        val cases = listOf(
            listsWith(revision = 1, newShare = 0.1) to setOf(NEW),
            listsWith(revision = 2, newShare = 0.2) to setOf(NEW),
            listsWith(revision = 2, newShare = null) to emptySet(),
        )
        for ((applied, stopped) in cases) {
            assertEquals(stopped, monitor.stoppedVersions(ListsSnapshot(applied)))
        }
    }
}
