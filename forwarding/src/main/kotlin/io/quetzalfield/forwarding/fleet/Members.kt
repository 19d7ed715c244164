package io.quetzalfield.forwarding.fleet

import io.quetzalfield.forwarding.DecisionLog
import io.quetzalfield.forwarding.choice.LimitSharers
import io.quetzalfield.forwarding.relay.ListedMember
import io.quetzalfield.forwarding.relay.RelayGroups
import io.quetzalfield.forwarding.relay.latestIncarnations
import io.quetzalfield.forwarding.relay.listedMember
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.store.StoreChange
import io.quetzalfield.store.StoredValue
import java.net.InetSocketAddress
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * The instances that accept requests, as listed in the store. Used on the event loop only, except for [count]. Of an
 * instance that has been restarted only the latest incarnation counts, also while an earlier one is still listed.
 *
 * @param partRetention time for which an instance that is no longer listed counts among those that have a part of what
 * all instances share.
 */
public class Members(
    private val own: MemberRecord,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val partRetention: Duration = 15.seconds,
) {
    private class Presence(val isLeaving: Boolean, val at: ComparableTimeMark)

    private val listed = HashMap<String, ListedMember>()
    private val lastPresence = HashMap<Incarnation, Presence>()

    /** When each listed instance was first seen in the list. */
    private val firstListed = HashMap<Incarnation, ComparableTimeMark>()

    /** Instances that are no longer listed and did not announce that they leave, with the time of the change. */
    private val vanished = HashMap<InstanceId, ComparableTimeMark>()
    private var currentSharers: LimitSharers? = null

    /** Instances that are no longer listed, with the time since which they are not. */
    private val unlisted = HashMap<InstanceId, ComparableTimeMark>()
    private var currentPartCount: Int? = null

    /** Whether this instance is leaving; its parts of limits then go to the others. */
    public var isLeaving: Boolean = false
        set(value) {
            field = value
            currentSharers = null
        }

    /** Called when this instance is listed and was not before. */
    public var onListed: () -> Unit = {}

    private val ownKey = FleetKeys.member(own.incarnation)

    /** The listed members without the earlier incarnations of instances that have been restarted. */
    private var latest: List<ListedMember> = emptyList()

    private val others: List<MemberRecord>
        get() = latest.map(ListedMember::record).filter { it.incarnation.instance != own.incarnation.instance }

    /** Number of instances that are listed, and this one if it is not; at least 1. */
    @Volatile
    public var count: Int = 1
        private set

    /**
     * Number of instances that may have used their part of what all instances share: those that are listed, those that
     * were until recently, and this one. When leases lapse, after an outage of the store those of all instances, the
     * list has fewer than go on.
     */
    public val partCount: Int
        get() {
            if (unlisted.isNotEmpty()) removeExpired()
            return currentPartCount
                ?: (listedInstances() + unlisted.keys + own.incarnation.instance).size.also { currentPartCount = it }
        }

    private fun listedInstances(): Set<InstanceId> = listed.values.mapTo(HashSet()) { it.record.incarnation.instance }

    /**
     * The instances that divide the limits of endpoints. An instance that vanished stays one of them for a while: it
     * may be alive and back at once, as after an outage of the store in which the leases ran out, and parts that grow
     * in the meantime would exceed the limits.
     */
    public val sharers: LimitSharers
        get() {
            if (vanished.isNotEmpty()) removeExpired()
            return currentSharers ?: LimitSharers(
                own = own.incarnation.instance.takeIf { ownKey in listed && !isLeaving },
                all = listedInstances() + vanished.keys,
            ).also { currentSharers = it }
        }

    /** Addresses at which the other instances receive datagrams. */
    public var peers: Map<Incarnation, InetSocketAddress> = emptyMap()
        private set

    private var ownGroup: List<Incarnation> = emptyList()
    private var otherGroups: List<List<Incarnation>> = emptyList()

    /** The members of this instance's group without this instance. */
    internal var groupPeers: Set<Incarnation> = emptySet()
        private set

    /** Time between two messages by which an instance shows that it is alive; longer in a large fleet. */
    public val presencePeriod: Duration
        get() = ShortestPresencePeriod * (count.toDouble() / PRESENCES_PER_PERIOD).coerceAtLeast(1.0)

    /** Replaces the whole list. */
    public fun replace(values: List<StoredValue>): Unit = noticingOwnEntry {
        val before = listed.values.map { it.record.incarnation }
        listed.clear()
        values.forEach(::put)
        before.forEach(::recordUnlisted)
        updatePeers()
    }

    /** Applies one change of the list. */
    public fun update(change: StoreChange): Unit = noticingOwnEntry {
        val value = change.value
        val before = listed[change.key]
        if (value != null) put(value) else listed.remove(change.key)?.let { recordUnlisted(it.record.incarnation) }
        // A record is also written anew under another lease.
        if (listed[change.key] == before) return@noticingOwnEntry
        updatePeers()
        DecisionLog.write(
            "member_change",
            "key" to change.key,
            "is_listed" to (value != null),
            "members" to count,
            "parts" to partCount,
        )
    }

    private fun noticingOwnEntry(change: () -> Unit) {
        val wasListed = ownKey in listed
        change()
        if (!wasListed && ownKey in listed) onListed()
    }

    /** Records a message of [incarnation] itself at [at], which the store may not be able to show. */
    public fun recordPresence(incarnation: Incarnation, isLeaving: Boolean, at: ComparableTimeMark) {
        val isFirstNotice = isLeaving && lastPresence[incarnation]?.isLeaving != true
        lastPresence[incarnation] = Presence(isLeaving, at)
        if (isFirstNotice) DecisionLog.write("member_leaving", "incarnation" to incarnation)
    }

    /**
     * Returns the addresses to give to callers: those of all other listed instances except the ones that are leaving
     * or have fallen silent, and this instance's own if [includesOwn]. When no other instance is heard, this one may
     * itself be cut off, so silence does not count.
     */
    public fun addresses(includesOwn: Boolean): List<String> {
        val notLeaving = others.filterNot { lastPresence[it.incarnation]?.isLeaving == true }
        val notSilent = notLeaving.filterNot { isSilent(it.incarnation) }
        val chosen = if (notSilent.any { it.incarnation in lastPresence }) notSilent else notLeaving
        return (chosen.map(MemberRecord::address) + listOfNotNull(own.address.takeIf { includesOwn })).distinct()
    }

    /** Whether an instance that can send messages has not been heard for several periods, or never. */
    private fun isSilent(incarnation: Incarnation): Boolean {
        if (incarnation !in peers && incarnation !in lastPresence) return false
        val since = lastPresence[incarnation]?.at ?: firstListed[incarnation] ?: return false
        return since.elapsedNow() > presencePeriod * SILENT_PERIODS
    }

    /** The instance that collects the reports of this group: the first available one, or this instance. */
    internal val leader: Incarnation get() = leaderOf(ownGroup) ?: own.incarnation

    /** The instances that collect the reports of the other groups. */
    internal val otherLeaders: List<Incarnation> get() = otherGroups.mapNotNull(::leaderOf)

    private fun leaderOf(group: List<Incarnation>): Incarnation? =
        group.firstOrNull { it == own.incarnation || isAvailable(it) }

    private fun isAvailable(incarnation: Incarnation) =
        lastPresence[incarnation]?.isLeaving != true && !isSilent(incarnation)

    private fun removeExpired() {
        val now = timeSource.markNow()
        if (vanished.values.removeIf { now - it > VanishedRetention }) currentSharers = null
        if (unlisted.values.removeIf { now - it > partRetention }) currentPartCount = null
    }

    private fun recordUnlisted(incarnation: Incarnation) {
        val isListed = listed.values.any { it.record.incarnation.instance == incarnation.instance }
        if (isListed) return
        val now = timeSource.markNow()
        unlisted[incarnation.instance] = now
        val hasLeft = lastPresence[incarnation]?.isLeaving == true
        if (!hasLeft) vanished[incarnation.instance] = now
    }

    private fun updatePeers() {
        currentSharers = null
        currentPartCount = null
        latest = listed.values.latestIncarnations()
        count = others.size + 1
        peers = latest.filter { it.record.incarnation.instance != own.incarnation.instance }
            .mapNotNull { member -> member.peerSocket?.let { member.record.incarnation to it } }
            .toMap()
        val present = latest.mapTo(HashSet()) { it.record.incarnation }
        lastPresence.keys.retainAll(present)
        firstListed.keys.retainAll(present)
        val now = timeSource.markNow()
        present.forEach { firstListed.getOrPut(it) { now } }
        val groups = RelayGroups(latest)
        ownGroup = groups.groupOf(own.incarnation).map(MemberRecord::incarnation)
        otherGroups = groups.otherGroups(own.incarnation).map { group -> group.map(MemberRecord::incarnation) }
        groupPeers = ownGroup.toSet() - own.incarnation
    }

    private fun put(value: StoredValue) {
        listedMember(value)?.let { listed[value.key] = it }
    }

    private companion object {
        val ShortestPresencePeriod = 1.seconds

        /** Messages that an instance receives per second from the others; with more instances each sends less often. */
        const val PRESENCES_PER_PERIOD = 64

        /** Three messages, plus the delay of the last. */
        const val SILENT_PERIODS = 3.2

        /** Time in which a live instance whose lease ran out is listed again. */
        val VanishedRetention = 5.seconds
    }
}
