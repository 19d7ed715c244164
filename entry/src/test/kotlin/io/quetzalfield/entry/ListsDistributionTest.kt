package io.quetzalfield.entry

import io.quetzalfield.model.ClientPlanList
import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.InstanceKind
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.ModelList
import io.quetzalfield.model.OperatorLists
import io.quetzalfield.peer.PeerClients
import io.quetzalfield.peer.PeerServer
import io.quetzalfield.store.LISTS_KEY
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.fakes.InMemoryInstanceDirectory
import io.quetzalfield.store.fakes.InMemoryKeyValueStore
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

private val BOUND = 5.seconds

class ListsDistributionTest {
    private val time = TestTimeSource()
    private val directory = InMemoryInstanceDirectory()
    private val store = InMemoryKeyValueStore(time)
    private val members = mutableListOf<Member>()

    private inner class Member(id: String, domain: String, val ownStore: InMemoryKeyValueStore = store) {
        val lists = ListsHolder()
        val fleet = FleetView(directory)
        val peers = PeerClients()
        private val incarnation = Incarnation(InstanceId(id), "start")
        val distribution = ListsDistribution(
            incarnation = incarnation,
            ownFailureDomain = FailureDomainId(domain),
            lists = lists,
            currency = ListsCurrency(BOUND, time),
            fleet = fleet,
            peers = peers,
            store = ownStore,
            random = Random(1),
            timeSource = time,
        )
        val server = PeerServer("127.0.0.1", 0, peerServiceOf(lists, controlOf(incarnation, lists, fleet, peers)))
        val listed = ListedInstance(
            id = InstanceId(id),
            kind = InstanceKind.ENTRY,
            address = "http://$id",
            failureDomain = FailureDomainId(domain),
            peerAddress = "127.0.0.1:${server.port}",
            start = "start",
        )

        init {
            members += this
            directory.announce(listed)
        }

        fun refresh() {
            fleet.refresh()
            distribution.refresh()
        }
    }

    @AfterEach
    fun stop() {
        members.forEach {
            it.distribution.close()
            it.peers.close()
            it.server.close()
        }
    }

    private fun apply(revision: Long) {
        val lists = OperatorLists(ListsRevision(revision), ClientPlanList(), ModelList())
        val expected = store.read(LISTS_KEY).getOrNull()?.modified ?: StoreRevision.Absent
        store.compareAndSwap(LISTS_KEY, expected, PlatformJson.encodeToString(OperatorLists.serializer(), lists))
    }

    @Nested
    inner class Spreading {
        @Test
        fun `an entry that is cut off from the store receives a change from its peers`() {
            val cutOff = InMemoryKeyValueStore(time).apply { isDown = true }
            val reached = Member("entry-1", "domain-1")
            val isolated = Member("entry-2", "domain-2", cutOff)
            apply(revision = 1)
            repeat(2) { members.forEach { it.refresh() } }
            assertEquals(listOf(1L, 1L), listOf(reached, isolated).map { it.lists.revision.value })
        }

        @Test
        fun `only two entries of a failure domain watch the store`() {
            repeat(6) { Member("entry-$it", "domain-1") }
            members.forEach { it.fleet.refresh() }
            val before = store.callCount
            members.forEach { it.refresh() }
            val callsPerRelay = 2
            assertEquals(2L * callsPerRelay, store.callCount - before)
        }

        @Test
        fun `a lower revision never replaces a higher one`() {
            val member = Member("entry-1", "domain-1")
            member.lists.adopt(OperatorLists(ListsRevision(7), ClientPlanList(), ModelList()))
            apply(revision = 3)
            member.refresh()
            assertEquals(ListsRevision(7), member.lists.revision)
        }
    }

    @Nested
    inner class Currency {
        @Test
        fun `an entry that reaches neither store nor peer is not current after the bound`() {
            val member = Member("entry-1", "domain-1")
            val stopped = Member("entry-2", "domain-2")
            member.refresh()
            stopped.server.close()
            store.isDown = true
            time += BOUND
            member.refresh()
            assertTrue(member.distribution.isCurrent())
            time += 1.seconds
            member.refresh()
            assertFalse(member.distribution.isCurrent())
        }

        @Test
        fun `entries that reach each other stay current while the store is down`() {
            repeat(2) { Member("entry-$it", "domain-$it") }
            members.forEach { it.refresh() }
            store.isDown = true
            time += BOUND * 100
            members.forEach { it.refresh() }
            assertTrue(members.all { it.distribution.isCurrent() })
        }

        @Test
        fun `a process that was paused is not current until its next contact`() {
            val member = Member("entry-1", "domain-1")
            Member("entry-2", "domain-2")
            member.refresh()
            time += BOUND + 1.seconds
            assertFalse(member.distribution.isCurrent())
            member.refresh()
            assertTrue(member.distribution.isCurrent())
        }
    }
}
