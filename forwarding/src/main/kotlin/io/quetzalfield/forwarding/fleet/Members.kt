package io.quetzalfield.forwarding.fleet

import io.quetzalfield.forwarding.DecisionLog
import io.quetzalfield.forwarding.decodeOrLog
import io.quetzalfield.model.HostPort
import io.quetzalfield.model.Incarnation
import io.quetzalfield.store.StoreChange
import io.quetzalfield.store.StoredValue
import java.net.InetSocketAddress

/** The instances that take requests, as the store lists them. Used on the event loop only. */
public class Members(private val own: MemberRecord) {
    private val records = HashMap<String, MemberRecord>()

    private val ownKey = FleetKeys.member(own.incarnation)

    /** Instances that share the bounds of the whole fleet; at least this one. */
    public val count: Int get() = if (ownKey in records) records.size else records.size + 1

    /** Where the other instances take datagrams. */
    public var peers: Map<Incarnation, InetSocketAddress> = emptyMap()
        private set

    /** Takes the whole list. */
    public fun replace(values: List<StoredValue>) {
        records.clear()
        values.forEach(::put)
        updatePeers()
    }

    /** Takes one change of the list. */
    public fun take(change: StoreChange) {
        val value = change.value
        if (value != null) put(value) else records.remove(change.key)
        updatePeers()
        DecisionLog.write("member_change", "key" to change.key, "is_listed" to (value != null), "members" to count)
    }

    /** The addresses to give to callers: those of all other listed instances, and the own one if [includesOwn]. */
    public fun addresses(includesOwn: Boolean): List<String> {
        val others = records.values.filter { it.incarnation != own.incarnation }.map(MemberRecord::address)
        return (others + listOfNotNull(own.address.takeIf { includesOwn })).distinct()
    }

    private fun updatePeers() {
        peers = records.values.filter { it.incarnation != own.incarnation }
            .mapNotNull { record ->
                val address = record.peerAddress?.let(HostPort::parse) ?: return@mapNotNull null
                record.incarnation to InetSocketAddress(address.host, address.port)
            }
            .toMap()
    }

    private fun put(value: StoredValue) {
        value.decodeOrLog(MemberRecord.serializer(), "member_unreadable")?.let { records[value.key] = it }
    }
}
