package io.quetzalfield.forwarding.fleet

import io.quetzalfield.forwarding.DecisionLog
import io.quetzalfield.forwarding.decodeOrLog
import io.quetzalfield.model.HostPort
import io.quetzalfield.model.Incarnation
import io.quetzalfield.store.StoreChange
import io.quetzalfield.store.StoredValue
import java.net.InetSocketAddress
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds

/** The instances that take requests, as the store lists them. Used on the event loop only. */
public class Members(private val own: MemberRecord) {
    private class Word(val isLeaving: Boolean, val at: ComparableTimeMark)

    private val records = HashMap<String, MemberRecord>()
    private val lastWords = HashMap<Incarnation, Word>()

    private val ownKey = FleetKeys.member(own.incarnation)

    private val others: List<MemberRecord> get() = records.values.filter { it.incarnation != own.incarnation }

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

    /** Notes that [incarnation] itself was heard at [at], which the store may not be able to tell. */
    public fun noteHeard(incarnation: Incarnation, isLeaving: Boolean, at: ComparableTimeMark) {
        val isNews = isLeaving && lastWords[incarnation]?.isLeaving != true
        lastWords[incarnation] = Word(isLeaving, at)
        if (isNews) DecisionLog.write("member_leaving", "incarnation" to incarnation)
    }

    /**
     * The addresses to give to callers: those of all other listed instances but the ones that are ending or have fallen
     * silent, and the own one if [includesOwn]. Where no other instance is heard, this one may be cut off itself, and
     * silence tells nothing.
     */
    public fun addresses(includesOwn: Boolean): List<String> {
        val staying = others.filterNot { lastWords[it.incarnation]?.isLeaving == true }
        val heard = staying.filterNot { isSilent(it.incarnation) }
        val chosen = if (heard.any { it.incarnation in lastWords }) heard else staying
        return (chosen.map(MemberRecord::address) + listOfNotNull(own.address.takeIf { includesOwn })).distinct()
    }

    private fun isSilent(incarnation: Incarnation): Boolean =
        lastWords[incarnation]?.let { it.at.elapsedNow() > LongestSilence } ?: false

    private fun updatePeers() {
        peers = others
            .mapNotNull { record ->
                val address = record.peerAddress?.let(HostPort::parse) ?: return@mapNotNull null
                record.incarnation to InetSocketAddress(address.host, address.port)
            }
            .toMap()
        lastWords.keys.retainAll(records.values.map(MemberRecord::incarnation).toSet())
    }

    private fun put(value: StoredValue) {
        value.decodeOrLog(MemberRecord.serializer(), "member_unreadable")?.let { records[value.key] = it }
    }

    private companion object {
        /** Three messages that every instance sends once a second. */
        val LongestSilence = 3_200.milliseconds
    }
}
