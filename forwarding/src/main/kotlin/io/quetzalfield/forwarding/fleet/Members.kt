package io.quetzalfield.forwarding.fleet

import io.quetzalfield.forwarding.DecisionLog
import io.quetzalfield.forwarding.relay.ListedMember
import io.quetzalfield.forwarding.relay.RelayGroups
import io.quetzalfield.forwarding.relay.listedMember
import io.quetzalfield.model.HostPort
import io.quetzalfield.model.Incarnation
import io.quetzalfield.store.StoreChange
import io.quetzalfield.store.StoredValue
import java.net.InetSocketAddress
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The instances that take requests, as the store lists them. Used on the event loop only. */
public class Members(private val own: MemberRecord) {
    private class Word(val isLeaving: Boolean, val at: ComparableTimeMark)

    private val listed = HashMap<String, ListedMember>()
    private val lastWords = HashMap<Incarnation, Word>()

    private val ownKey = FleetKeys.member(own.incarnation)

    private val others: List<MemberRecord>
        get() = listed.values.map(ListedMember::record).filter { it.incarnation != own.incarnation }

    /** Instances that share the bounds of the whole fleet; at least this one. */
    public val count: Int get() = if (ownKey in listed) listed.size else listed.size + 1

    /** Where the other instances take datagrams. */
    public var peers: Map<Incarnation, InetSocketAddress> = emptyMap()
        private set

    private var ownGroup: List<Incarnation> = emptyList()
    private var otherGroups: List<List<Incarnation>> = emptyList()

    /** The members of the own group without this instance. */
    internal var groupMates: Set<Incarnation> = emptySet()
        private set

    /** Time between two messages by which an instance shows the others that it lives; fewer when there are many. */
    public val presencePeriod: Duration
        get() = ShortestPresencePeriod * (count.toDouble() / PRESENCES_PER_PERIOD).coerceAtLeast(1.0)

    /** Takes the whole list. */
    public fun replace(values: List<StoredValue>) {
        listed.clear()
        values.forEach(::put)
        updatePeers()
    }

    /** Takes one change of the list. */
    public fun take(change: StoreChange) {
        val value = change.value
        if (value != null) put(value) else listed.remove(change.key)
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
        lastWords[incarnation]?.let { it.at.elapsedNow() > presencePeriod * SILENT_PERIODS } ?: false

    /** The instance that gathers the reports of the own group: the first that stays, or this one. */
    internal val leader: Incarnation get() = leaderOf(ownGroup) ?: own.incarnation

    /** The instances that gather the reports of the other groups. */
    internal val otherLeaders: List<Incarnation> get() = otherGroups.mapNotNull(::leaderOf)

    private fun leaderOf(group: List<Incarnation>): Incarnation? =
        group.firstOrNull { it == own.incarnation || isStaying(it) }

    private fun isStaying(incarnation: Incarnation) =
        lastWords[incarnation]?.isLeaving != true && !isSilent(incarnation)

    private fun updatePeers() {
        peers = others
            .mapNotNull { record ->
                val address = record.peerAddress?.let(HostPort::parse) ?: return@mapNotNull null
                record.incarnation to InetSocketAddress(address.host, address.port)
            }
            .toMap()
        lastWords.keys.retainAll(listed.values.map { it.record.incarnation }.toSet())
        val groups = RelayGroups(listed.values)
        ownGroup = groups.groupOf(own.incarnation).map(MemberRecord::incarnation)
        otherGroups = groups.otherGroups(own.incarnation).map { group -> group.map(MemberRecord::incarnation) }
        groupMates = ownGroup.toSet() - own.incarnation
    }

    private fun put(value: StoredValue) {
        listedMember(value)?.let { listed[value.key] = it }
    }

    private companion object {
        val ShortestPresencePeriod = 1.seconds

        /** Messages of other instances that one takes in a second; with more instances each sends less often. */
        const val PRESENCES_PER_PERIOD = 64

        /** Three messages, with the delay of the last. */
        const val SILENT_PERIODS = 3.2
    }
}
