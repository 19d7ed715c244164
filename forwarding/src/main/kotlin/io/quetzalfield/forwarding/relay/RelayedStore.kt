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
import io.quetzalfield.store.FollowPace
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
 * A store whose followed parts come from another instance where one passes them on, and else from [direct]. All other
 * calls go to [direct].
 *
 * A confirmation that comes from another instance counts from the sending of the question it answers, less the age
 * that the other instance states: the answer was composed after the question was sent, so neither a late answer nor a
 * pause of either process makes it look younger than it is.
 */
public class RelayedStore(
    private val direct: FollowableStore,
    private val own: MemberRecord,
    private val eventLoop: EventLoop,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val clock: Clock = Clock.System,
) : FollowableStore by direct {
    private val parts = LinkedHashMap<String, Part>()

    /** The members by their stored values; `null` stands for one that cannot be read. */
    private val listed = HashMap<StoredValue, ListedMember?>()
    private val suspended = HashMap<Incarnation, ComparableTimeMark>()
    private val choice = SourceChoice()
    private val server = RelayServer(eventLoop, Passing())
    private var link: RelayLink? = null
    private var isLeaving = false

    /** Whether this instance reads the followed parts from the store itself. */
    @Volatile
    public var isReader: Boolean = true
        private set

    /** Must be called for every part before [start]. */
    override fun follow(prefix: String, follower: StoreFollower, pace: FollowPace): StoreWatch {
        parts[prefix] = Part(prefix, follower, pace)
        return StoreWatch { eventLoop.execute { parts.remove(prefix)?.stopReading() } }
    }

    /** Starts to read the followed parts, and to take other instances' connections at the own peer address. */
    public fun start() {
        own.peerAddress?.let(HostPort::parse)?.let(server::listen)
        eventLoop.execute { parts.values.forEach(Part::startReading) }
        eventLoop.repeatEvery(QuestionPeriod, ::tick)
    }

    /** Sends the instances that are told by this one elsewhere. */
    public fun leave(): Unit = eventLoop.execute {
        isLeaving = true
        server.leave()
    }

    private fun now() = CallTime(timeSource.markNow(), clock.now())

    private fun tick() {
        suspended.values.removeAll { it.elapsedNow() > Suspension }
        val relays = relays()
        link?.let { check(it, relays) }
        if (link == null && !isLeaving) relays.firstOrNull()?.let(::open)
        link?.ask(now())
        chooseSource()
    }

    private fun relays(): List<MemberRecord> {
        val values = parts[FleetKeys.FOLLOWED]?.mirror?.state.orEmpty().filter { it.key.startsWith(FleetKeys.MEMBERS) }
        listed.keys.retainAll(values.toSet())
        values.filter { it !in listed }.forEach { listed[it] = listedMember(it) }
        val groups = RelayGroups(listed.values.filterNotNull())
        return groups.relaysFor(own.incarnation).filter { it.incarnation !in suspended }
    }

    /** Drops [current] when it has failed, or when another instance has become the better one. */
    private fun check(current: RelayLink, relays: List<MemberRecord>) {
        val hasFailed = current.isClosed || (current.openedAt.mark.elapsedNow() > FirstAnswerLimit && !choice.isCovered)
        val isOutranked = current.openedAt.mark.elapsedNow() > LeastStay &&
            relays.firstOrNull()?.incarnation != current.relay.incarnation
        if (!hasFailed && !isOutranked) return
        if (hasFailed) suspended[current.relay.incarnation] = timeSource.markNow()
        DecisionLog.write("relay_left", "relay" to current.relay.incarnation, "failed" to hasFailed)
        current.close()
        link = null
    }

    private fun open(relay: MemberRecord) {
        DecisionLog.write("relay_asked", "relay" to relay.incarnation)
        link = RelayLink(eventLoop, relay, now(), Told()).also(RelayLink::open)
    }

    private fun chooseSource() {
        val shallRead = choice.isReader(isReading = isReader)
        if (shallRead == isReader) return
        isReader = shallRead
        DecisionLog.write("store_source", "is_reader" to shallRead, "followers" to server.followerCount)
        parts.values.forEach { if (shallRead) it.startReading() else it.stopReading() }
    }

    /** Relies on [candidate] once its copies hold all that is known here. */
    private fun attach(candidate: RelayLink) {
        val isBehind = parts.values.any { part ->
            candidate.mirrorOf(part.prefix).let { it == null || it.reached < part.mirror.reached }
        }
        if (isBehind) return
        candidate.isAttached = true
        for (part in parts.values) candidate.mirrorOf(part.prefix)?.let { part.replace(it.state) }
        DecisionLog.write("relay_used", "relay" to candidate.relay.incarnation)
    }

    private inner class Told : RelayLinkListener {
        override fun changed(link: RelayLink, prefix: String, changes: List<StoreChange>) {
            if (link === this@RelayedStore.link) parts[prefix]?.let { part -> changes.forEach(part::take) }
        }

        override fun answered(link: RelayLink, asked: CallTime, parts: List<PartCurrency>) {
            val isMate = link.relay.failureDomain == own.failureDomain
            if (link !== this@RelayedStore.link || !SourceChoice.isGood(parts, isMate)) return
            if (!link.isAttached) attach(link)
            if (!link.isAttached) return
            choice.noteGood(asked.mark)
            for (currency in parts) this@RelayedStore.parts[currency.prefix]?.takeCurrency(currency, asked)
        }
    }

    private inner class Passing : RelayedParts {
        override val states
            get() = parts.values.filter { it.mirror.isComplete }.associate { it.prefix to it.mirror.state }

        override fun currency(): List<PartCurrency> = parts.values.map(Part::currency)
    }

    /** One followed prefix. */
    private inner class Part(val prefix: String, private val follower: StoreFollower, private val pace: FollowPace) {
        val mirror = PartMirror()
        private var reading: Reading? = null
        private var isLost = false
        private var confirmed: CallTime? = null

        fun startReading() {
            if (reading == null) reading = Reading(this).also { it.watch = direct.follow(prefix, it, pace) }
        }

        fun stopReading() {
            reading?.close()
            reading = null
        }

        fun isReadBy(reader: Reading) = reading === reader

        fun replace(state: List<StoredValue>) {
            regained()
            val isFirst = !mirror.isComplete
            val changes = mirror.replace(state)
            if (isFirst) follower.onState(mirror.state) else changes.forEach(follower::onChange)
            server.tell(prefix, changes)
        }

        fun take(change: StoreChange) {
            if (!mirror.take(change)) return
            follower.onChange(change)
            server.tell(prefix, listOf(change))
        }

        fun confirm(sent: CallTime) {
            regained()
            confirmed = sent
            follower.onConfirmed(sent)
        }

        fun lost(reason: String) {
            isLost = true
            follower.onLost(reason)
        }

        fun regained() {
            if (isLost) follower.onRegained()
            isLost = false
        }

        fun takeCurrency(currency: PartCurrency, asked: CallTime) {
            mirror.reach(StoreRevision(currency.reached))
            val age = currency.confirmedMillisecondsAgo?.milliseconds ?: return
            confirm(CallTime(asked.mark - age, asked.instant - age))
        }

        fun currency() = PartCurrency(
            prefix = prefix,
            reached = mirror.reached.value,
            isLost = isLost || !mirror.isComplete,
            confirmedMillisecondsAgo = confirmed.takeIf { pace.confirmation != null }?.let {
                maxOf(it.mark.elapsedNow(), clock.now() - it.instant).inWholeMilliseconds + 1
            },
        )
    }

    /** One stretch of time in which a part is read from the store; what comes after its end is dropped. */
    private inner class Reading(private val part: Part) : StoreFollower {
        var watch: StoreWatch? = null

        fun close() {
            watch?.close()
        }

        private fun run(action: () -> Unit) = eventLoop.execute { if (part.isReadBy(this)) action() }

        override fun onState(values: List<StoredValue>) = run { part.replace(values) }

        override fun onChange(change: StoreChange) = run { part.take(change) }

        override fun onReached(revision: StoreRevision) = run { part.mirror.reach(revision) }

        override fun onConfirmed(sent: CallTime) = run { part.confirm(sent) }

        override fun onLost(reason: String) = run { part.lost(reason) }

        override fun onRegained() = run { part.regained() }
    }

    private companion object {
        /** A relay that is lost is noticed after three of these. */
        val QuestionPeriod: Duration = 250.milliseconds

        /** Time after which a relay must have answered, with its own start to read the store. */
        val FirstAnswerLimit: Duration = 6.seconds

        /** Time for which an instance that failed as a relay is not asked. */
        val Suspension: Duration = 4.seconds

        /** Keeps instances from changing their relay while members join one after the other. */
        val LeastStay: Duration = 5.seconds
    }
}
