package io.quetzalfield.forwarding.relay

import io.quetzalfield.forwarding.decodeOrLog
import io.quetzalfield.forwarding.fleet.MemberRecord
import io.quetzalfield.model.HostPort
import io.quetzalfield.model.Incarnation
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.StoredValue
import java.net.InetSocketAddress

/** A member with the store revision at which it joined. */
internal data class ListedMember(val record: MemberRecord, val joined: StoreRevision) {
    /** Where it receives datagrams; parsed once, as each change of the list needs those of all members. */
    val peerSocket: InetSocketAddress? by lazy(LazyThreadSafetyMode.NONE) {
        record.peerAddress?.let(HostPort::parse)?.let { InetSocketAddress(it.host, it.port) }
    }
}

/** Decodes the member in [value]; writes a log line and returns `null` if that fails. */
internal fun listedMember(value: StoredValue): ListedMember? =
    value.decodeOrLog(MemberRecord.serializer(), "member_unreadable")?.let { ListedMember(it, value.created) }

/** Returns the latest incarnation of each instance; an earlier one has ended, but its lease may not have. */
internal fun Collection<ListedMember>.latestIncarnations(): List<ListedMember> =
    groupBy { it.record.incarnation.instance }.values.map { all -> all.maxBy(ListedMember::joined) }

/**
 * Divides the instances into groups, in which the first member relays the store's keys to the others.
 *
 * A failure domain with [SMALLEST_GROUP] members or more is a group; the members of all smaller ones form one
 * group. The members of a group are ordered by the time at which they joined, so that a joining member does not change
 * the relays of the others.
 */
internal class RelayGroups(members: Collection<ListedMember>) {
    private val groups: Collection<List<MemberRecord>> = members.latestIncarnations()
        .filter { it.record.peerAddress != null }
        .sortedWith(compareBy({ it.joined }, { it.record.incarnation }))
        .map(ListedMember::record)
        .let { ordered ->
            val sizes = ordered.groupingBy(MemberRecord::failureDomain).eachCount()
            ordered.groupBy { member -> member.failureDomain.takeIf { sizes.getValue(it) >= SMALLEST_GROUP } }.values
        }

    /** The groups without [incarnation]. */
    fun otherGroups(incarnation: Incarnation): List<List<MemberRecord>> = groups.filterNot { it.includes(incarnation) }

    /** The group of [incarnation]; empty if it is not listed. */
    fun groupOf(incarnation: Incarnation): List<MemberRecord> =
        groups.firstOrNull { it.includes(incarnation) }.orEmpty()

    /**
     * The members from which [incarnation] may get the store's keys, in order of preference: those before it in its
     * group, or, for the first member of a group, the first members of other groups. All of them joined before it, so
     * that there are no cycles and exactly one instance has no relay.
     */
    fun relaysFor(incarnation: Incarnation): List<MemberRecord> {
        val group = groupOf(incarnation)
        val candidates = if (group.firstOrNull()?.incarnation == incarnation) groups.map { it.first() } else group
        return candidates.takeWhile { it.incarnation != incarnation }
    }

    /**
     * Any members but [own] itself, from which it may get the store's keys while it has none of [relaysFor], as it is
     * not listed or cannot reach the store: those of its failure domain first. One of them may itself rely on [own], so
     * that an instance which is listed must not be relied on while it uses one of these.
     */
    fun substitutesFor(own: MemberRecord): List<MemberRecord> = groups.flatten()
        .filter { it.incarnation.instance != own.incarnation.instance }
        .partition { it.failureDomain == own.failureDomain }
        .let { (near, far) -> near + far }

    private fun List<MemberRecord>.includes(incarnation: Incarnation) = any { it.incarnation == incarnation }

    private companion object {
        /** Members of a failure domain from which on one relay for them costs less than traffic between domains. */
        const val SMALLEST_GROUP = 3
    }
}
