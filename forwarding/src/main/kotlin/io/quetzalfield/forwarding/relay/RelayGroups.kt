package io.quetzalfield.forwarding.relay

import io.quetzalfield.forwarding.decodeOrLog
import io.quetzalfield.forwarding.fleet.MemberRecord
import io.quetzalfield.model.Incarnation
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.StoredValue

/** A member with the revision at which it joined. */
internal data class ListedMember(val record: MemberRecord, val joined: StoreRevision)

/** The member that [value] holds; `null`, with a log line, when it cannot be read. */
internal fun listedMember(value: StoredValue): ListedMember? =
    value.decodeOrLog(MemberRecord.serializer(), "member_unreadable")?.let { ListedMember(it, value.created) }

/**
 * The instances in groups: the first of each passes on to the others what the store holds.
 *
 * A failure domain with [LEAST_GROUP] members or more is a group; the members of smaller ones form one group together.
 * In a group those that joined first come first, so that a member that joins changes no one's relay.
 */
internal class RelayGroups(members: Collection<ListedMember>) {
    private val groups: Collection<List<MemberRecord>> = members
        .filter { it.record.peerAddress != null }
        .sortedWith(compareBy({ it.joined }, { it.record.incarnation }))
        .map(ListedMember::record)
        .let { ordered ->
            val sizes = ordered.groupingBy(MemberRecord::failureDomain).eachCount()
            ordered.groupBy { member -> member.failureDomain.takeIf { sizes.getValue(it) >= LEAST_GROUP } }.values
        }

    /** The groups that [incarnation] is not in. */
    fun otherGroups(incarnation: Incarnation): List<List<MemberRecord>> = groups.filterNot { it.holds(incarnation) }

    /** The group of [incarnation]; empty when it is not listed. */
    fun groupOf(incarnation: Incarnation): List<MemberRecord> = groups.firstOrNull { it.holds(incarnation) }.orEmpty()

    /**
     * The members that [incarnation] may ask for the store's keys, in the order to try: those before it in its group;
     * for the first of a group, the first ones of other groups. They all joined before it, so that no two instances
     * ever wait for each other, and one instance in all has nobody to ask.
     */
    fun relaysFor(incarnation: Incarnation): List<MemberRecord> {
        val group = groupOf(incarnation)
        val circle = if (group.firstOrNull()?.incarnation == incarnation) groups.map { it.first() } else group
        return circle.takeWhile { it.incarnation != incarnation }
    }

    private fun List<MemberRecord>.holds(incarnation: Incarnation) = any { it.incarnation == incarnation }

    private companion object {
        /** Members of a failure domain from which one relay for them costs less than bytes between domains. */
        const val LEAST_GROUP = 3
    }
}
