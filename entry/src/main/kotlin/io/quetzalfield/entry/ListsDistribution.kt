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
 * Brings the operators' lists to this entry. A few entries of each failure domain, the relays, watch the store. All
 * entries exchange revisions with random peers, and one that has adopted new lists pushes them on at once, so that a
 * change spreads without a store call per entry and reaches an entry that is cut off from the store.
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
    private var lastRead = timeSource.markNow() - READ_PERIOD

    private val otherEntries: List<ListedInstance>
        get() = fleet.entries.filter { it.id != incarnation.instance && it.peerAddress != null }

    /** Whether this entry is one of those of its failure domain that watch the store. */
    private val isRelay: Boolean
        get() {
            val domain = fleet.entries.filter { it.failureDomain == ownFailureDomain }.map { it.id }
            val order = rendezvousOrder("relays|$ownFailureDomain", domain + incarnation.instance) { it.value }
            return incarnation.instance in order.distinct().take(RELAYS_PER_FAILURE_DOMAIN)
        }

    /** Whether the lists are known to be in force. */
    fun isCurrent(): Boolean = currency.isCurrent(hasPeers = otherEntries.isNotEmpty())

    /** Watches the store or stops watching it, as the fleet wants it now, and exchanges lists with a random peer. */
    fun refresh() {
        if (isRelay) followStore() else unfollowStore()
        otherEntries.randomOrNull(random)?.let(::exchange)
    }

    private fun followStore() {
        if (watch == null) watch = store.watch(LISTS_KEY) { change -> change.value?.let { adopt(it.value) } }
        if (lastRead.elapsedNow() < READ_PERIOD) return
        val askedAt = timeSource.markNow()
        lastRead = askedAt
        store.read(LISTS_KEY).onRight { stored ->
            currency.noteContact(askedAt)
            stored?.let { adopt(it.value) }
        }
    }

    private fun unfollowStore() {
        watch?.close()
        watch = null
    }

    private fun adopt(json: String) {
        if (lists.adoptJson(json)) spread()
    }

    /** Pushes the lists to a few random peers; each of them does the same when they are new to it. */
    fun spread() {
        otherEntries.shuffled(random).take(SPREAD).mapNotNull(ListedInstance::peerAddress).forEach(::push)
    }

    private fun exchange(peer: ListedInstance) {
        val address = peer.peerAddress ?: return
        val offer = ListsOffer.newBuilder()
            .setSender(incarnation.toString())
            .setRevision(lists.revision.value)
            .build()
        val askedAt = timeSource.markNow()
        peers.call(address, EXCHANGE_TIMEOUT) { it.exchangeLists(offer) }.onRight { reply ->
            currency.noteContact(askedAt)
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
        unfollowStore()
    }

    private companion object {
        const val RELAYS_PER_FAILURE_DOMAIN = 2
        const val SPREAD = 3
        val READ_PERIOD: Duration = 2.seconds
        val EXCHANGE_TIMEOUT: Duration = 1.seconds
    }
}

/** The reply to an offer of lists at [offeredRevision]: newer lists, when this entry has them. */
internal fun ListsHolder.replyTo(offeredRevision: Long): ListsReply {
    val reply = ListsReply.newBuilder().setRevision(revision.value)
    if (revision.value > offeredRevision) reply.setLists(ByteString.copyFromUtf8(toJson()))
    return reply.build()
}
