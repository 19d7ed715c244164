package io.quetzalfield.entry

import com.google.protobuf.ByteString
import io.quetzalfield.decision.rendezvousOrder
import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.peer.PeerClients
import io.quetzalfield.peer.wire.ListsOffer
import io.quetzalfield.peer.wire.ListsPush
import io.quetzalfield.peer.wire.ListsReply
import io.quetzalfield.store.KeyValueStore
import io.quetzalfield.store.LISTS_KEY
import io.quetzalfield.store.StoreWatch
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Distributes the operators' lists to this entry and on to its peers. A few entries of each failure domain, the relays,
 * watch the store. All entries exchange revisions with random peers, and an entry that adopts new lists pushes them to
 * peers at once. A change thus spreads without a store call per entry and reaches entries that are cut off from the
 * store.
 */
internal class ListsDistribution(
    private val incarnation: Incarnation,
    private val ownFailureDomain: FailureDomainId,
    private val lists: ListsHolder,
    private val currency: ListsCurrency,
    private val fleet: FleetView,
    private val peers: PeerClients,
    private val store: KeyValueStore,
    private val random: Random = Random.Default,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) : AutoCloseable {
    private var watch: StoreWatch? = null
    private var lastReadAt = timeSource.markNow() - READ_PERIOD

    private val otherEntries: List<ListedInstance>
        get() = fleet.entries.filter { it.id != incarnation.instance && it.peerAddress != null }

    /** Whether this entry is one of the relays of its failure domain. */
    private val isRelay: Boolean
        get() {
            val domain = fleet.entries.filter { it.failureDomain == ownFailureDomain }.map { it.id }
            val order = rendezvousOrder("relays|$ownFailureDomain", domain + incarnation.instance) { it.value }
            return incarnation.instance in order.distinct().take(RELAYS_PER_FAILURE_DOMAIN)
        }

    /** Returns whether the lists are known to be in force. */
    fun isCurrent(): Boolean = currency.isCurrent(hasPeers = otherEntries.isNotEmpty())

    /** Starts or stops watching the store as the current fleet requires, and exchanges lists with a random peer. */
    fun refresh() {
        if (isRelay) watchStore() else stopWatchingStore()
        otherEntries.randomOrNull(random)?.let(::exchange)
    }

    private fun watchStore() {
        if (watch == null) watch = store.watch(LISTS_KEY) { change -> change.value?.let { adopt(it.value) } }
        if (lastReadAt.elapsedNow() < READ_PERIOD) return
        val requestedAt = timeSource.markNow()
        lastReadAt = requestedAt
        store.read(LISTS_KEY).onRight { stored ->
            currency.noteContact(requestedAt)
            stored?.let { adopt(it.value) }
        }
    }

    private fun stopWatchingStore() {
        watch?.close()
        watch = null
    }

    private fun adopt(json: String) {
        if (lists.adoptJson(json)) pushToRandomPeers()
    }

    /** Pushes the lists to a few random peers; a peer to which they are new pushes them on in the same way. */
    fun pushToRandomPeers() {
        otherEntries.shuffled(random).take(PUSH_FAN_OUT).mapNotNull(ListedInstance::peerAddress).forEach(::push)
    }

    private fun exchange(peer: ListedInstance) {
        val address = peer.peerAddress ?: return
        val offer = ListsOffer.newBuilder()
            .setSender(incarnation.toString())
            .setRevision(lists.revision.value)
            .build()
        val requestedAt = timeSource.markNow()
        peers.call(address, EXCHANGE_TIMEOUT) { it.exchangeLists(offer) }.onRight { reply ->
            currency.noteContact(requestedAt)
            if (!reply.lists.isEmpty) adopt(reply.lists.toStringUtf8())
            if (reply.revision < lists.revision.value) push(address)
        }
    }

    private fun push(address: String) {
        val push = ListsPush.newBuilder()
            .setSender(incarnation.toString())
            .setRevision(lists.revision.value)
            .setLists(ByteString.copyFromUtf8(lists.toJson()))
            .build()
        peers.call(address, EXCHANGE_TIMEOUT) { it.pushLists(push) }
    }

    override fun close() {
        stopWatchingStore()
    }

    private companion object {
        const val RELAYS_PER_FAILURE_DOMAIN = 2
        const val PUSH_FAN_OUT = 3
        val READ_PERIOD: Duration = 2.seconds
        val EXCHANGE_TIMEOUT: Duration = 1.seconds
    }
}

/** Returns the reply to an offer of lists at [offeredRevision]; it contains the lists if they are newer here. */
internal fun ListsHolder.replyTo(offeredRevision: Long): ListsReply {
    val reply = ListsReply.newBuilder().setRevision(revision.value)
    if (revision.value > offeredRevision) reply.setLists(ByteString.copyFromUtf8(toJson()))
    return reply.build()
}
