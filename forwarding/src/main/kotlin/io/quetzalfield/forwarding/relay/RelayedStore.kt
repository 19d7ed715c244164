package io.quetzalfield.forwarding.relay

import io.netty.channel.EventLoop
import io.quetzalfield.forwarding.DecisionLog
import io.quetzalfield.forwarding.decodeOrLog
import io.quetzalfield.forwarding.fleet.FleetKeys
import io.quetzalfield.forwarding.fleet.MemberRecord
import io.quetzalfield.forwarding.repeatEvery
import io.quetzalfield.model.HostPort
import io.quetzalfield.store.CallTime
import io.quetzalfield.store.FollowSettings
import io.quetzalfield.store.FollowableStore
import io.quetzalfield.store.StoreChange
import io.quetzalfield.store.StoreFollower
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.StoreWatch
import io.quetzalfield.store.StoredValue
import kotlin.time.Clock
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

    /** The state of the copy from which the members were decoded last. */
    private var decodedChangeCount = -1L
    private val preference = RelayPreference(ownRecord, timeSource)
    private val choice = SourceChoice()
    private val server = RelayServer(eventLoop, ServedParts())

    /** The connection from which the keys are taken once it is attached. */
    private var link: RelayLink? = null

    /** `null` once this instance reads everything or gets it from a relay. */
    private var startPhase: StartPhase? = null

    /** A connection to an instance that is preferred to the relay of [link], which it replaces once it is current. */
    private var candidate: RelayLink? = null

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
        eventLoop.execute {
            startPhase = StartPhase(timeSource)
            val fleet = parts[FleetKeys.FLEET_PREFIX]
            if (fleet == null) readAll() else fleet.startReading()
        }
        eventLoop.repeatEvery(QueryPeriod, ::update)
    }

    private fun readAll() {
        startPhase = null
        parts.values.forEach(Part::startReading)
    }

    /** Reads everything, in the first moments of this instance, unless it may soon get it from another one. */
    private fun continueStart() {
        val phase = startPhase ?: return
        val isListRead = parts[FleetKeys.FLEET_PREFIX]?.mirror?.isComplete ?: false
        val hasTarget = preference.target(isReadingLost) != null
        if (phase.mustReadAll(isListRead, preference.hasOthers, preference.isListed, hasTarget)) readAll()
    }

    /** Disconnects the instances that follow this one, so that they use another relay. */
    public fun leave(): Unit = eventLoop.execute(server::leave)

    private fun now() = CallTime(timeSource.markNow(), clock.now())

    private fun update() {
        decodeMembers()
        continueStart()
        parts.values.forEach(Part::dropUnrestored)
        dropFailedLinks()
        val target = preference.target(isReadingLost)
        if (target == null) dropUnlistedRelay() else use(target)
        val now = now()
        link?.ask(now)
        candidate?.ask(now)
        chooseSource()
    }

    /** Whether this instance tries to read the store itself and fails. */
    private val isReadingLost: Boolean get() = parts.values.any(Part::isReadingLost)

    /** Whether the instance whose keys this one takes may itself rely on this one. */
    private val mayNotBeReliedOn: Boolean
        get() = link?.let { it.isAttached && (it.target.isSubstitute || preference.isLapsed) } ?: false

    private fun decodeMembers() {
        val mirror = parts[FleetKeys.FLEET_PREFIX]?.mirror ?: return
        if (mirror.changeCount == decodedChangeCount) return
        decodedChangeCount = mirror.changeCount
        val values = mirror.state.filter { it.key.startsWith(FleetKeys.MEMBERS) }
        decodedMembers.keys.retainAll(values.toSet())
        values.filter { it !in decodedMembers }.forEach { decodedMembers[it] = listedMember(it) }
        preference.update(decodedMembers.values.filterNotNull())
    }

    private fun dropFailedLinks() {
        candidate?.takeIf { it.isClosed || it.openedAt.mark.elapsedNow() > CandidateTimeout }?.let {
            candidate = null
            leave(it, hasFailed = true)
        }
        val current = link ?: return
        val isPatient = !isReadingLost && !current.isRelayLost
        val timeout = if (isPatient) FirstAnswerTimeout else LostAnswerTimeout
        val hasFailed = current.isClosed || (!choice.isRelayCurrent && current.openedAt.mark.elapsedNow() > timeout)
        val isNeedless = current.target.isSubstitute && !isReadingLost
        if (!hasFailed && !isNeedless) return
        link = candidate
        candidate = null
        leave(current, hasFailed)
    }

    private fun dropUnlistedRelay() {
        val current = link?.takeUnless(::isAllowed) ?: return
        link = null
        leave(current, hasFailed = false)
    }

    private fun isAllowed(link: RelayLink) = link.target.isSubstitute || preference.isRegular(link.relay.incarnation)

    /** Asks the instance of [target]; beside the present relay, if there is one, until it is known to be current. */
    private fun use(target: RelayTarget) {
        val current = link
        if (current == null) {
            link = open(target)
        } else if (current.relay.incarnation == target.relay.incarnation) {
            candidate?.close()
            candidate = null
        } else if (candidate?.target != target) {
            val mayStay = isAllowed(current) && current.openedAt.mark.elapsedNow() <= MinimumStay
            if (mayStay) return
            candidate?.close()
            candidate = open(target)
        }
    }

    private fun leave(link: RelayLink, hasFailed: Boolean) {
        if (hasFailed) preference.recordFailure(link.relay.incarnation, link.hasAnswered)
        DecisionLog.write("relay_left", "relay" to link.relay.incarnation, "failed" to hasFailed)
        link.close()
    }

    private fun open(target: RelayTarget): RelayLink {
        DecisionLog.write("relay_asked", "relay" to target.relay.incarnation, "is_substitute" to target.isSubstitute)
        return RelayLink(eventLoop, target, now(), LinkListener()).also(RelayLink::open)
    }

    private fun chooseSource() {
        if (startPhase != null) return
        val mustRead = link?.target?.isSubstitute == true || (isReader && link?.isAttached != true)
        val shouldRead = mustRead || choice.isReader(isReading = isReader)
        if (shouldRead == isReader) return
        isReader = shouldRead
        DecisionLog.write("store_source", "is_reader" to shouldRead, "followers" to server.followerCount)
        parts.values.forEach { if (shouldRead) it.startReading() else it.stopReading() }
    }

    private fun stopReadingAtStart() {
        startPhase = null
        isReader = false
        DecisionLog.write("store_source", "is_reader" to false, "followers" to server.followerCount)
        parts.values.forEach(Part::stopReading)
    }

    /** Switches to [candidate] unless its copies lack changes that this instance already has. */
    private fun attach(candidate: RelayLink) {
        val isBehind = parts.values.any { part -> candidate.mirrorOf(part.prefix)?.isBehind(part.mirror) ?: true }
        if (isBehind) return
        candidate.isAttached = true
        if (startPhase != null) stopReadingAtStart()
        for (part in parts.values) candidate.mirrorOf(part.prefix)?.let { part.replace(it.state, it.reached) }
        DecisionLog.write("relay_used", "relay" to candidate.relay.incarnation)
    }

    private fun replaceLinkBy(current: RelayLink) {
        link?.let { leave(it, hasFailed = false) }
        link = current
        candidate = null
    }

    private inner class LinkListener : RelayLinkListener {
        override fun onOpened(link: RelayLink) = link.ask(now())

        override fun onClosed(link: RelayLink) {
            if (eventLoop.isShuttingDown || (link !== this@RelayedStore.link && link !== candidate)) return
            eventLoop.execute(::update)
        }

        override fun onChanges(link: RelayLink, prefix: String, changes: List<StoreChange>) {
            if (link === this@RelayedStore.link) parts[prefix]?.let { part -> changes.forEach(part::update) }
        }

        override fun onAnswer(link: RelayLink, asked: CallTime, parts: List<PartFreshness>) {
            val isSameDomain = link.relay.failureDomain == ownRecord.failureDomain
            val isUsed = link === this@RelayedStore.link || link === candidate
            val isOfEarlierEra = parts.any { StoreRevision(it.reached).era < direct.era }
            if (!isUsed || isOfEarlierEra || !SourceChoice.isGood(parts, isSameDomain)) return
            if (!link.isAttached) attach(link)
            if (!link.isAttached) return
            if (link === candidate) replaceLinkBy(link)
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
        val mirror = PartMirror(timeSource)
        private var directFollower: DirectFollower? = null
        private var isLost = false
        private var confirmed: CallTime? = null

        /** Whether this instance tries to read the part from the store and fails. */
        var isReadingLost = false
            private set

        fun startReading() {
            if (directFollower == null) {
                directFollower = DirectFollower(this).also { it.watch = direct.follow(prefix, it, settings) }
            }
        }

        fun stopReading() {
            directFollower?.close()
            directFollower = null
            isReadingLost = false
        }

        fun isFollowedBy(follower: DirectFollower) = directFollower === follower

        fun replace(state: List<StoredValue>, listed: StoreRevision) {
            onAvailable()
            val isFirst = !mirror.isComplete
            val changes = mirror.replace(state, listed)
            if (isFirst) {
                follower.onState(mirror.state, listed)
                server.sendState(prefix, mirror.state)
            } else {
                report(changes)
            }
        }

        private fun report(changes: List<StoreChange>) {
            changes.forEach(follower::onChange)
            server.sendChanges(prefix, changes)
        }

        /** Drops keys that nobody has written again since the store was restored. */
        fun dropUnrestored() {
            // While the store does not answer, its writers may not reach it either.
            if (isLost || isReadingLost) return
            val dropped = mirror.dropUnrestored(settings.restorationAllowance)
            if (dropped.isEmpty()) return
            DecisionLog.write("keys_not_restored", "prefix" to prefix, "keys" to dropped.map(StoreChange::key))
            report(dropped)
        }

        fun update(change: StoreChange) {
            if (mirror.update(change)) report(listOf(change))
        }

        fun confirm(sent: CallTime) {
            onAvailable()
            confirmed = sent
            follower.onConfirmed(sent)
        }

        fun onReadingLost(reason: String) {
            isReadingLost = true
            if (choice.isRelayCurrent) return
            isLost = true
            follower.onUnavailable(reason)
        }

        fun onRead() {
            isReadingLost = false
            onAvailable()
        }

        private fun onAvailable() {
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
            isLost = isLost || !mirror.isComplete || (isReadingLost && !choice.isRelayCurrent) || mayNotBeReliedOn,
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

        override fun onState(values: List<StoredValue>, revision: StoreRevision) = run {
            part.onRead()
            part.replace(values, revision)
            if (startPhase != null) update()
        }

        override fun onChange(change: StoreChange) = run {
            part.update(change)
            if (startPhase != null) update()
        }

        override fun onRevisionReached(revision: StoreRevision) = run { part.mirror.advanceTo(revision) }

        override fun onConfirmed(sent: CallTime) = run {
            part.onRead()
            part.confirm(sent)
        }

        override fun onUnavailable(reason: String) = run { part.onReadingLost(reason) }

        override fun onAvailable() = run { part.onRead() }
    }

    private companion object {
        /** Time between two queries to the relay; a lost relay is detected after three of these. */
        val QueryPeriod: Duration = 250.milliseconds

        /** Time within which a relay must answer for the first time; includes its own start to read the store. */
        val FirstAnswerTimeout: Duration = 6.seconds

        /** The same while the relay says that it has lost the store, or the own calls to the store fail. */
        val LostAnswerTimeout: Duration = 750.milliseconds

        /** Time within which an instance that is preferred to the present relay must be current. */
        val CandidateTimeout: Duration = 2.seconds

        /** Keeps instances from changing their relay repeatedly while members join one after the other. */
        val MinimumStay: Duration = 5.seconds
    }
}
