package io.quetzalfield.forwarding.relay

import io.netty.channel.EventLoop
import io.quetzalfield.forwarding.DecisionLog
import io.quetzalfield.forwarding.decodeOrLog
import io.quetzalfield.forwarding.fleet.FleetKeys
import io.quetzalfield.forwarding.fleet.MemberRecord
import io.quetzalfield.forwarding.repeatEvery
import io.quetzalfield.model.HostPort
import io.quetzalfield.model.Incarnation
import io.quetzalfield.store.CallTime
import io.quetzalfield.store.FollowSettings
import io.quetzalfield.store.FollowableStore
import io.quetzalfield.store.StoreChange
import io.quetzalfield.store.StoreFollower
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.StoreWatch
import io.quetzalfield.store.StoredValue
import kotlin.time.Clock
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * A store whose followed parts are received from another instance if one relays them, and otherwise from [direct]. All
 * other calls go to [direct].
 *
 * The time of a relayed confirmation is the time at which the answered query was sent, less the age that the relay
 * states. The answer was composed after the query was sent, so neither a late answer nor a pause of either process
 * makes the confirmation look younger than it is.
 */
public class RelayedStore(
    private val direct: FollowableStore,
    private val ownRecord: MemberRecord,
    private val eventLoop: EventLoop,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val clock: Clock = Clock.System,
) : FollowableStore by direct {
    private val parts = LinkedHashMap<String, Part>()

    /** The decoded members by their stored values; `null` for one that cannot be decoded. */
    private val decodedMembers = HashMap<StoredValue, ListedMember?>()

    /** When each instance failed as a relay. */
    private val failedRelays = HashMap<Incarnation, ComparableTimeMark>()
    private val choice = SourceChoice()
    private val server = RelayServer(eventLoop, ServedParts())
    private var link: RelayLink? = null
    private var isLeaving = false

    /** Whether this instance reads the followed parts from the store itself. */
    @Volatile
    public var isReader: Boolean = true
        private set

    /** Follows the part under [prefix]. Must be called for every part before [start]. */
    override fun follow(prefix: String, follower: StoreFollower, settings: FollowSettings): StoreWatch {
        parts[prefix] = Part(prefix, follower, settings)
        return StoreWatch { eventLoop.execute { parts.remove(prefix)?.stopReading() } }
    }

    /** Starts to read the followed parts and to accept connections of other instances at the own peer address. */
    public fun start() {
        ownRecord.peerAddress?.let(HostPort::parse)?.let(server::listen)
        eventLoop.execute { parts.values.forEach(Part::startReading) }
        eventLoop.repeatEvery(QueryPeriod, ::update)
    }

    /** Disconnects the instances that follow this one, so that they use another relay. */
    public fun leave(): Unit = eventLoop.execute {
        isLeaving = true
        server.leave()
    }

    private fun now() = CallTime(timeSource.markNow(), clock.now())

    private fun update() {
        failedRelays.values.removeAll { it.elapsedNow() > Suspension }
        val relays = relays()
        link?.let { closeIfFailedOrOutranked(it, relays) }
        if (link == null && !isLeaving) relays.firstOrNull()?.let(::open)
        link?.ask(now())
        chooseSource()
    }

    private fun relays(): List<MemberRecord> {
        val values = parts[FleetKeys.FLEET_PREFIX]?.mirror?.state.orEmpty().filter {
            it.key.startsWith(FleetKeys.MEMBERS)
        }
        decodedMembers.keys.retainAll(values.toSet())
        values.filter { it !in decodedMembers }.forEach { decodedMembers[it] = listedMember(it) }
        val groups = RelayGroups(decodedMembers.values.filterNotNull())
        return groups.relaysFor(ownRecord.incarnation).filter { it.incarnation !in failedRelays }
    }

    /** Closes [current] if it has failed or another instance is preferred to its relay. */
    private fun closeIfFailedOrOutranked(current: RelayLink, relays: List<MemberRecord>) {
        val hasFailed = current.isClosed ||
            (current.openedAt.mark.elapsedNow() > FirstAnswerTimeout && !choice.isRelayCurrent)
        val isOutranked = current.openedAt.mark.elapsedNow() > MinimumStay &&
            relays.firstOrNull()?.incarnation != current.relay.incarnation
        if (!hasFailed && !isOutranked) return
        if (hasFailed) failedRelays[current.relay.incarnation] = timeSource.markNow()
        DecisionLog.write("relay_left", "relay" to current.relay.incarnation, "failed" to hasFailed)
        current.close()
        link = null
    }

    private fun open(relay: MemberRecord) {
        DecisionLog.write("relay_asked", "relay" to relay.incarnation)
        link = RelayLink(eventLoop, relay, now(), LinkListener()).also(RelayLink::open)
    }

    private fun chooseSource() {
        val shouldRead = choice.isReader(isReading = isReader)
        if (shouldRead == isReader) return
        isReader = shouldRead
        DecisionLog.write("store_source", "is_reader" to shouldRead, "followers" to server.followerCount)
        parts.values.forEach { if (shouldRead) it.startReading() else it.stopReading() }
    }

    /** Switches to [candidate] unless its copies lack changes that this instance already has. */
    private fun attach(candidate: RelayLink) {
        val isBehind = parts.values.any { part ->
            candidate.mirrorOf(part.prefix).let { it == null || it.reached < part.mirror.reached }
        }
        if (isBehind) return
        candidate.isAttached = true
        for (part in parts.values) candidate.mirrorOf(part.prefix)?.let { part.replace(it.state) }
        DecisionLog.write("relay_used", "relay" to candidate.relay.incarnation)
    }

    private inner class LinkListener : RelayLinkListener {
        override fun onChanges(link: RelayLink, prefix: String, changes: List<StoreChange>) {
            if (link === this@RelayedStore.link) parts[prefix]?.let { part -> changes.forEach(part::update) }
        }

        override fun onAnswer(link: RelayLink, asked: CallTime, parts: List<PartFreshness>) {
            val isSameDomain = link.relay.failureDomain == ownRecord.failureDomain
            if (link !== this@RelayedStore.link || !SourceChoice.isGood(parts, isSameDomain)) return
            if (!link.isAttached) attach(link)
            if (!link.isAttached) return
            choice.recordGoodAnswer(asked.mark)
            for (part in parts) this@RelayedStore.parts[part.prefix]?.update(part, asked)
        }
    }

    private inner class ServedParts : RelayedParts {
        override val states
            get() = parts.values.filter { it.mirror.isComplete }.associate { it.prefix to it.mirror.state }

        override fun freshness(): List<PartFreshness> = parts.values.map(Part::freshness)
    }

    /** One followed prefix. */
    private inner class Part(
        val prefix: String,
        private val follower: StoreFollower,
        private val settings: FollowSettings,
    ) {
        val mirror = PartMirror()
        private var directFollower: DirectFollower? = null
        private var isLost = false
        private var confirmed: CallTime? = null

        fun startReading() {
            if (directFollower == null) {
                directFollower = DirectFollower(this).also { it.watch = direct.follow(prefix, it, settings) }
            }
        }

        fun stopReading() {
            directFollower?.close()
            directFollower = null
        }

        fun isFollowedBy(follower: DirectFollower) = directFollower === follower

        fun replace(state: List<StoredValue>) {
            onAvailable()
            val isFirst = !mirror.isComplete
            val changes = mirror.replace(state)
            if (isFirst) follower.onState(mirror.state) else changes.forEach(follower::onChange)
            server.sendChanges(prefix, changes)
        }

        fun update(change: StoreChange) {
            if (!mirror.update(change)) return
            follower.onChange(change)
            server.sendChanges(prefix, listOf(change))
        }

        fun confirm(sent: CallTime) {
            onAvailable()
            confirmed = sent
            follower.onConfirmed(sent)
        }

        fun onUnavailable(reason: String) {
            isLost = true
            follower.onUnavailable(reason)
        }

        fun onAvailable() {
            if (isLost) follower.onAvailable()
            isLost = false
        }

        fun update(freshness: PartFreshness, asked: CallTime) {
            mirror.advanceTo(StoreRevision(freshness.reached))
            val age = freshness.confirmedMillisecondsAgo?.milliseconds ?: return
            confirm(CallTime(asked.mark - age, asked.instant - age))
        }

        fun freshness() = PartFreshness(
            prefix = prefix,
            reached = mirror.reached.value,
            isLost = isLost || !mirror.isComplete,
            confirmedMillisecondsAgo = confirmed.takeIf { settings.confirmation != null }?.let {
                maxOf(it.mark.elapsedNow(), clock.now() - it.instant).inWholeMilliseconds + 1
            },
        )
    }

    /** Follows a part in the store, until the part stops reading it there; later events are dropped. */
    private inner class DirectFollower(private val part: Part) : StoreFollower {
        var watch: StoreWatch? = null

        fun close() {
            watch?.close()
        }

        private fun run(action: () -> Unit) = eventLoop.execute { if (part.isFollowedBy(this)) action() }

        override fun onState(values: List<StoredValue>) = run { part.replace(values) }

        override fun onChange(change: StoreChange) = run { part.update(change) }

        override fun onRevisionReached(revision: StoreRevision) = run { part.mirror.advanceTo(revision) }

        override fun onConfirmed(sent: CallTime) = run { part.confirm(sent) }

        override fun onUnavailable(reason: String) = run { part.onUnavailable(reason) }

        override fun onAvailable() = run { part.onAvailable() }
    }

    private companion object {
        /** Time between two queries to the relay; a lost relay is detected after three of these. */
        val QueryPeriod: Duration = 250.milliseconds

        /** Time within which a relay must answer for the first time; includes its own start to read the store. */
        val FirstAnswerTimeout: Duration = 6.seconds

        /** Time for which an instance that failed as a relay is not used. */
        val Suspension: Duration = 4.seconds

        /** Keeps instances from changing their relay repeatedly while members join one after the other. */
        val MinimumStay: Duration = 5.seconds
    }
}
