package io.quetzalfield.entry

import io.quetzalfield.decision.CrashQuarantine
import io.quetzalfield.decision.RolloutObservations
import io.quetzalfield.decision.fingerprintOf
import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.InstanceKind
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.RunnerId
import io.quetzalfield.peer.PeerClients
import io.quetzalfield.peer.PeerServer
import io.quetzalfield.peer.wire.FingerprintList
import io.quetzalfield.peer.wire.ObservationsReply
import io.quetzalfield.store.fakes.InMemoryInstanceDirectory
import kotlin.test.AfterTest
import kotlin.test.BeforeTest
import kotlin.test.Test
import kotlin.test.assertEquals

/** The control of one entry, served over the peer protocol on the loopback interface. */
private class ServedControl(name: String, private val directory: InMemoryInstanceDirectory) : AutoCloseable {
    val incarnation = Incarnation(InstanceId(name), "start")
    val fleet = FleetView(directory)
    val peers = PeerClients()
    val lists = ListsHolder().apply { adopt(listsWith(revision = 1, newShare = 0.1)) }
    val control = controlOf(incarnation, lists, fleet, peers)
    private val server = PeerServer("127.0.0.1", 0, peerServiceOf(lists, control))

    fun announce() {
        directory.announce(
            ListedInstance(
                id = incarnation.instance,
                kind = InstanceKind.ENTRY,
                address = "http://127.0.0.1:1",
                failureDomain = FailureDomainId("domain-1"),
                peerAddress = "127.0.0.1:${server.port}",
            ),
        )
    }

    override fun close() {
        server.close()
        control.close()
        peers.close()
    }
}

/** Exchanges that open the channels; in operation they are open before a crash, as entries exchange continuously. */
private const val WARM_UP_EXCHANGES = 3

class EntryControlPeersTest {
    private val directory = InMemoryInstanceDirectory()
    private val served = listOf("entry-1", "entry-2").map { ServedControl(it, directory) }
    private val poison = fingerprintOf("poison")

    @BeforeTest
    fun list() {
        served.forEach(ServedControl::announce)
        served.forEach { it.fleet.refresh() }
    }

    @AfterTest
    fun close() {
        served.forEach(ServedControl::close)
    }

    @Test
    fun `a quarantine is known at every entry when the exchange returns`() {
        val quarantine = CrashQuarantine(InstanceId("entry-3"))
        val incarnation = Incarnation(InstanceId("entry-3"), "start")
        val exchange = FingerprintExchange(incarnation, quarantine, served[0].fleet, served[0].peers)
        repeat(WARM_UP_EXCHANGES) { exchange.exchangeWithAll() }
        repeat(2) { quarantine.recordCrash(poison, RunnerId("runner-$it")) }
        exchange.exchangeWithAll()
        exchange.close()
        val crashesKnown = served.map { entry ->
            val known = entry.control.answerFingerprints(FingerprintList.getDefaultInstance()).fingerprintsList
            known.single { it.fingerprint == poison.value }.crashes
        }
        assertEquals(listOf(2, 2), crashesKnown)
    }

    @Test
    fun `a stop at one entry is reported to the others`() {
        val peers = PeerObservations(served[0].incarnation, served[0].fleet, served[0].peers)
        repeat(WARM_UP_EXCHANGES) { peers.observations() }
        peers.notifyStop(NEW, "ratings", ListsRevision(1))
        assertEquals(setOf(NEW), served[1].control.rollouts.stoppedVersions(served[1].lists.snapshot))
        assertEquals(emptySet(), served[0].control.rollouts.stoppedVersions(served[0].lists.snapshot))
    }

    @Test
    fun `sums of observations are transferred completely`() {
        val book = ObservationBook()
        book.noteAnswer(NEW, isSlow = true)
        book.noteRating(NEW, hasPassed = true)
        book.noteError(NEW)
        val reply: ObservationsReply = book.toReply(served[0].incarnation)
        val sums = reply.versionsList.single()
        val expected = RolloutObservations(answers = 1, rated = 1, passed = 1, errors = 1, slow = 1)
        val transferred = RolloutObservations(sums.answers, sums.rated, sums.passed, sums.errors, sums.slow)
        assertEquals(expected, transferred)
    }
}
