package io.quetzalfield.entry

import com.google.protobuf.ByteString
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.peer.PeerClients
import io.quetzalfield.peer.wire.ListsOffer
import io.quetzalfield.peer.wire.ListsPush
import io.quetzalfield.peer.wire.ListsReply
import io.quetzalfield.platform.KeyValueStore
import io.quetzalfield.platform.LISTS_KEY
import io.quetzalfield.platform.StoreWatch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Brings the operators' lists to this entry by two ways: a watch of the store, and an exchange with one peer after the
 * other, so that an entry which the store does not reach gets them all the same.
 */
internal class ListsDistribution(
    private val incarnation: Incarnation,
    private val lists: ListsHolder,
    private val fleet: FleetView,
    private val peers: PeerClients,
    private val store: KeyValueStore,
    private val ages: StateAges = StateAges(),
) : AutoCloseable {
    private var watch: StoreWatch? = null
    private var nextPeer = 0

    fun start() {
        watch = store.watch(LISTS_KEY) { change ->
            ages.confirm(HeldState.Lists)
            change.value?.let { lists.adoptJson(it.value) }
        }
    }

    /** Exchanges lists with the next live entry. */
    fun exchangeWithPeers() {
        val others = fleet.entries.filter { it.id != incarnation.instance && it.peerAddress != null }
        if (others.isEmpty()) return
        exchange(others[nextPeer++ % others.size])
    }

    private fun exchange(peer: ListedInstance) {
        val offer = ListsOffer.newBuilder()
            .setSender(incarnation.toString())
            .setRevision(lists.revision.value)
            .build()
        val address = peer.peerAddress ?: return
        peers.call(address, EXCHANGE_TIMEOUT) { it.exchangeLists(offer) }.onRight { reply ->
            ages.confirm(HeldState.Lists)
            if (!reply.lists.isEmpty) lists.adoptJson(reply.lists.toStringUtf8())
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
        watch?.close()
    }

    private companion object {
        val EXCHANGE_TIMEOUT: Duration = 1.seconds
    }
}

/** The reply to an offer of lists at [offeredRevision]: newer lists, when this entry has them. */
internal fun ListsHolder.replyTo(offeredRevision: Long): ListsReply {
    val reply = ListsReply.newBuilder().setRevision(revision.value)
    if (revision.value > offeredRevision) reply.setLists(ByteString.copyFromUtf8(toJson()))
    return reply.build()
}
