package io.quetzalfield.forwarding.choice

import io.quetzalfield.forwarding.configuration.ConfigurationHolder
import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.endpoints.EndpointDescription
import io.quetzalfield.forwarding.endpoints.EndpointDirectory
import io.quetzalfield.forwarding.fleet.FleetKeys
import io.quetzalfield.forwarding.fleet.MemberRecord
import io.quetzalfield.forwarding.fleet.Members
import io.quetzalfield.history.HistoryEvent.RequestArrived
import io.quetzalfield.history.HistoryTime
import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.store.Confirmation
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.StoredValue
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlin.time.TestTimeSource

/**
 * What decides whether an instance writes a request to an endpoint.
 *
 * @property coldRate requests per second that a cold endpoint gets from all instances; `null` for no limit.
 * @property confirmationBound age of the last confirmation up to which requests are run.
 * @property listsAfterGap whether the first confirmation after a gap contains the operator's orders.
 */
internal data class Gates(
    val division: () -> LimitDivision = ::HolderDivision,
    val coldRate: Double? = GatedFleet.COLD_PER_SECOND * 0.9,
    val confirmationBound: Duration = 4.5.seconds,
    val listsAfterGap: Boolean = true,
)

/** The store as the instances of a [GatedFleet] read it. */
internal class SharedState {
    val listed = LinkedHashMap<Incarnation, StoredValue>()
    val entries = LinkedHashMap<String, EndpointDescription>()
    val coldUntil = HashMap<String, ComparableTimeMark>()
    var evacuated: Set<FailureDomainId> = emptySet()
    var isAway = false

    /** The entry of [description] with the time for which it is still cold. */
    fun entryAt(description: EndpointDescription, now: ComparableTimeMark): EndpointDescription {
        val left = coldUntil[description.id.value]?.let { it - now } ?: Duration.ZERO
        return description.copy(coldFor = left.coerceAtLeast(Duration.ZERO))
    }
}

/** Instances with the gates of the product in front of the endpoints of [state], and their requests. */
internal class GatedFleet(size: Int, val random: Random, private val gates: Gates) {
    private class Delivery(val at: ComparableTimeMark, val action: () -> Unit)

    val time = TestTimeSource()
    private val begin = time.markNow()
    val state = SharedState()
    val arrivals = mutableListOf<RequestArrived>()
    private val deliveries = PriorityQueue<Delivery>(compareBy { it.at })
    private val clock = object : Clock {
        override fun now() = Instant.fromEpochMilliseconds(begin.elapsedNow().inWholeMilliseconds)
    }
    private val leaseTime = 3.seconds * (size / 8.0).coerceIn(1.0, 8.0)
    private val demand = REQUESTS_PER_SECOND * (Step / 1.seconds) / size
    private var starts = 0
    val instances = (1..size).map { Instance(InstanceId("front-$it")) }

    fun now() = HistoryTime(begin.elapsedNow().inWholeMilliseconds)

    fun deliver(delay: Duration, action: () -> Unit) {
        deliveries += Delivery(time.markNow() + delay, action)
    }

    fun pass(onStep: () -> Unit = {}) {
        time += Step
        while (deliveries.isNotEmpty() && deliveries.peek().at <= time.markNow()) deliveries.poll().action()
        instances.shuffled(random).forEach(Instance::step)
        onStep()
    }

    /** Tells all instances that the store has changed. */
    fun onStateChanged() = instances.forEach { it.readSoon(WatchDelay) }

    inner class Instance(private val id: InstanceId) {
        private lateinit var record: MemberRecord
        private lateinit var members: Members
        private lateinit var directory: EndpointDirectory
        private lateinit var limits: EndpointLimits
        private lateinit var configuration: ConfigurationHolder
        private var isUp = false
        private var isFrozen = false
        private var isCut = false
        private var isStateKnown = false
        private var isReadDue = true
        private var hasReadPending = false
        private var nextConfirmation = time.markNow()
        private var nextListing = time.markNow()
        private val whileFrozen = mutableListOf<() -> Unit>()

        init {
            start()
        }

        fun start() {
            if (isUp) return
            val own = MemberRecord(Incarnation(id, "start-${starts++}"), "10.0.0.1:80", "a", "10.0.0.1:90")
            record = own
            members = Members(own, time)
            directory = EndpointDirectory(time)
            limits = EndpointLimits(time, gates.division(), { gates.coldRate }) { members.sharers }
            configuration = ConfigurationHolder(time, clock)
            isUp = true
            isStateKnown = false
            hasReadPending = false
            readSoon(WatchDelay)
        }

        /** Ends the process; its entry stays until its lease has run out. */
        fun kill() {
            isUp = false
            val ended = record.incarnation
            deliver(leaseTime * random.nextDouble(0.6, 1.0)) { unlist(ended) }
        }

        fun stop() {
            isUp = false
            unlist(record.incarnation)
        }

        private fun unlist(incarnation: Incarnation) {
            if (state.listed.remove(incarnation) != null) onStateChanged()
        }

        fun freeze(duration: Duration) {
            isFrozen = true
            val frozen = record.incarnation
            if (duration > leaseTime * 0.8) deliver(leaseTime * 0.9) { unlist(frozen) }
            deliver(duration) {
                isFrozen = false
                whileFrozen.toList().also { whileFrozen.clear() }.shuffled(random).forEach { it() }
            }
        }

        fun cutOff(duration: Duration) {
            isCut = true
            val cut = record.incarnation
            if (duration > leaseTime * 0.8) deliver(leaseTime * 0.9) { unlist(cut) }
            deliver(duration) {
                isCut = false
                readSoon(WatchDelay)
            }
        }

        val reachesStore get() = isUp && !isCut && !state.isAway

        private fun whenAwake(action: () -> Unit) {
            if (isFrozen) whileFrozen += action else action()
        }

        /** Runs [action] after [delay], when this process is awake, unless it has ended. */
        private fun later(delay: Duration, action: () -> Unit) {
            val own = record
            deliver(delay) { whenAwake { if (isUp && record === own) action() } }
        }

        fun readSoon(longest: Duration) {
            if (hasReadPending) return
            hasReadPending = true
            later(longest * random.nextDouble(), ::read)
        }

        private fun read() {
            hasReadPending = false
            isReadDue = !reachesStore
            if (isReadDue) return
            nextListing = time.markNow() + ListingPeriod
            members.replace(state.listed.values.toList())
            state.entries.values.forEach { directory.update(state.entryAt(it, time.markNow())) }
            directory.retainOnly(state.entries.values.mapTo(HashSet()) { it.id })
            directory.evacuate(state.evacuated) { ColdTime }
            configuration.confirm(time.markNow(), clock.now())
            isStateKnown = true
        }

        fun step() {
            if (!isUp || isFrozen) return
            val now = time.markNow()
            if (now >= nextConfirmation && reachesStore) {
                nextConfirmation = now + StoreConfirmation.period
                if (isStateKnown) confirm()
                join()
            }
            if ((isReadDue || now >= nextListing) && reachesStore) {
                nextListing = now + ListingPeriod
                readSoon(WatchDelay)
            }
            if (random.nextDouble() < demand) choose()
        }

        private fun confirm() {
            val silence = configuration.age() ?: Duration.ZERO
            if (gates.listsAfterGap && StoreConfirmation.isGap(silence)) return read()
            configuration.confirm(time.markNow(), clock.now())
        }

        private fun join() {
            if (record.incarnation in state.listed) return
            val json = PlatformJson.encodeToString(MemberRecord.serializer(), record)
            val key = FleetKeys.member(record.incarnation)
            state.listed[record.incarnation] = StoredValue(key, json, StoreRevision(1), StoreRevision(1))
            onStateChanged()
        }

        private fun isCurrent() = isStateKnown && configuration.isConfirmedWithin(gates.confirmationBound)

        /** Cold endpoints are empty and attract all requests. */
        private fun choose() {
            if (!isCurrent()) return
            val open = directory.all.filter { it.isEligible && limits.mayReceive(it) }
            val now = time.markNow()
            val endpoint = (open.filter { it.isColdAt(now) }.ifEmpty { open }).randomOrNull(random) ?: return
            later(100.milliseconds * random.nextDouble()) { write(endpoint) }
        }

        private fun write(endpoint: Endpoint) {
            if (!isCurrent() || !directory.isUsable(endpoint) || !limits.mayReceive(endpoint)) return
            limits.recordSend(endpoint)
            val sentAt = now()
            deliver(random.nextInt(1, 40).milliseconds) { arrive(endpoint.description, sentAt) }
        }

        private fun arrive(endpoint: EndpointDescription, sentAt: HistoryTime) {
            if (endpoint.id.value !in state.entries) return
            val domain = FailureDomainId(endpoint.failureDomain)
            arrivals += RequestArrived(now(), InstanceId(endpoint.id.value), domain, record.incarnation, sentAt)
        }
    }

    companion object {
        const val COLD_PER_SECOND = 6.9
        val Step = 20.milliseconds
        val ColdTime = 4.seconds

        /** Requests of all callers, for the endpoints of all failure domains. */
        private const val REQUESTS_PER_SECOND = 60

        /** Longest time until a change of the store is read. */
        private val WatchDelay = 300.milliseconds
        private val StoreConfirmation = Confirmation("configuration", period = 700.milliseconds)
        private val ListingPeriod = 8.seconds
    }
}
