package io.quetzalfield.forwarding.choice

import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.endpoints.EndpointId
import io.quetzalfield.forwarding.endpoints.LimitChange
import io.quetzalfield.forwarding.endpoints.description
import io.quetzalfield.forwarding.fleet.FleetKeys
import io.quetzalfield.forwarding.fleet.MemberRecord
import io.quetzalfield.forwarding.fleet.Members
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.StoredValue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/**
 * Seeded histories of a fleet in front of one endpoint that names limits, changes them and takes them back, while
 * instances end, return, lose their leases and lose messages, with far more requests than the limits allow.
 */
class LimitHistoryTest {
    private companion object {
        val Step = 20.milliseconds
        val Length = 40.seconds

        /** Time from the naming of a limit until it binds. */
        val Contact = 3.seconds
        val Window = 4.seconds

        /** Time for which an instance that ended and started again does not count. */
        val Excused = 5.seconds
        const val SEEDS = 4
        const val LOSS = 0.1

        /** Share of the instances that have a request for the endpoint in a step. */
        const val DEMAND = 0.2
    }

    private class Delivery(val at: ComparableTimeMark, val action: () -> Unit)

    /** A limit that the endpoint names from [from] on; `null` for none. */
    private class Period(val from: ComparableTimeMark, val perSecond: Double?)

    private class History(seed: Int, private val size: Int, private val division: () -> LimitDivision) {
        private val random = Random(seed)
        private val time = TestTimeSource()
        private val deliveries = PriorityQueue<Delivery>(compareBy { it.at })
        private val periods = mutableListOf(Period(time.markNow(), null))
        private val records = (1..size).map {
            MemberRecord(Incarnation(InstanceId("front-$it"), "start"), "10.0.0.$it:80", "a", "10.0.0.$it:90")
        }
        private val values = records.associateWith {
            val json = PlatformJson.encodeToString(MemberRecord.serializer(), it)
            StoredValue(FleetKeys.member(it.incarnation), json, StoreRevision(1), StoreRevision(1))
        }
        private val listed = records.toMutableSet()
        private val instances = records.map(::Instance)
        val sends = mutableListOf<Pair<ComparableTimeMark, Instance>>()

        inner class Instance(val record: MemberRecord) {
            private lateinit var limits: EndpointLimits
            private lateinit var members: Members
            private lateinit var endpoint: Endpoint
            private var isUp = true
            private var isReadDue = false
            val starts = mutableListOf<ComparableTimeMark>()

            init {
                reset()
            }

            fun reset() {
                members = Members(record, time)
                limits = EndpointLimits(time, division()) { members.sharers }
                endpoint = Endpoint(description("runner-1"))
                isUp = true
                readList()
            }

            private fun readList() {
                isReadDue = false
                members.replace(listed.map(values::getValue))
            }

            /** Reads the list within half a second. */
            fun scheduleRead() {
                if (isReadDue) return
                isReadDue = true
                deliver(random.nextInt(500).milliseconds, ::readList)
            }

            fun end() {
                isUp = false
            }

            fun restart() {
                starts += time.markNow()
                reset()
            }

            fun trySend() {
                if (!isUp || !limits.mayReceive(endpoint)) return
                limits.recordSend(endpoint)
                sends += time.markNow() to this
                val start = endpoint
                deliver(random.nextInt(5, 200).milliseconds) {
                    if (isUp && start === endpoint) take(periods.last().perSecond, time.markNow(), isOwn = true)
                }
            }

            private fun take(perSecond: Double?, at: ComparableTimeMark, isOwn: Boolean) {
                val change = limits.record(endpoint, perSecond, at)
                if (isOwn && change != LimitChange.NONE) tellOthers()
            }

            fun tellOthers() {
                val at = endpoint.limit.newestStatement ?: return
                if (!isUp || endpoint.limit.rateAt(time.markNow()) == null) return
                val perSecond = endpoint.limit.requestsPerSecond
                for (other in instances) {
                    if (other === this || random.nextDouble() < LOSS) continue
                    deliver(random.nextInt(1, 300).milliseconds) { if (other.isUp) other.take(perSecond, at, false) }
                }
            }
        }

        private fun deliver(delay: Duration, action: () -> Unit) {
            deliveries += Delivery(time.markNow() + delay, action)
        }

        fun play() {
            repeat((Length / Step).toInt()) { step ->
                time += Step
                while (deliveries.isNotEmpty() && deliveries.peek().at <= time.markNow()) deliveries.poll().action()
                if (step % 50 == 0) instances.forEach(Instance::tellOthers)
                if (step % 350 == 100) changeLimit()
                if (random.nextInt(250) == 0) disturb()
                instances.shuffled(random).filter { random.nextDouble() < DEMAND }.forEach(Instance::trySend)
            }
        }

        private fun changeLimit() {
            val next = listOf(null, 0.0, 0.5, 1.0, 1.1, 2.0, 5.0, 20.0, 50.0).random(random)
            if (next != periods.last().perSecond) periods += Period(time.markNow(), next)
        }

        private fun disturb() = when (random.nextInt(3)) {
            0 -> endSome(count = 1)

            1 -> endSome(count = maxOf(1, size * 6 / 10))

            // The leases of many instances run out, and each is listed again within a second.
            else -> records.filter { random.nextInt(3) > 0 }.forEach { record ->
                setListed(record, isListed = false, Duration.ZERO)
                setListed(record, isListed = true, random.nextInt(200, 1_500).milliseconds)
            }
        }

        private fun endSome(count: Int) = instances.shuffled(random).take(count).forEach { instance ->
            instance.end()
            deliver(random.nextInt(500, 3_000).milliseconds) {
                instance.restart()
                setListed(instance.record, isListed = true, 200.milliseconds)
            }
        }

        /** Changes the list in the store; each instance reads it up to half a second later. */
        private fun setListed(record: MemberRecord, isListed: Boolean, delay: Duration) = deliver(delay) {
            if (isListed) listed += record else listed -= record
            instances.forEach(Instance::scheduleRead)
        }

        /** Returns the windows in which the endpoint received more than its limit allows. */
        fun violations(): List<String> = periods.indices.flatMap { index ->
            val period = periods[index]
            val perSecond = period.perSecond ?: return@flatMap emptyList()
            val end = periods.getOrNull(index + 1)?.from ?: time.markNow()
            val counted = sends.filter { (at, instance) ->
                at >= period.from + Contact && at < end &&
                    instance.counts(at)
            }
            val allowed = 6 * perSecond + 5
            counted.mapNotNull { (first, _) ->
                val count = counted.count { (at, _) -> at >= first && at - first < Window }
                if (count > allowed) "$count requests in $Window with a limit of $perSecond a second" else null
            }
        }

        private fun Instance.counts(at: ComparableTimeMark) = starts.none { it <= at && at - it <= Excused }
    }

    private fun violations(size: Int, seeds: IntRange, division: () -> LimitDivision) = seeds.flatMap { seed ->
        val history = History(seed, size, division).apply { play() }
        assertTrue(history.sends.isNotEmpty())
        history.violations().map { "seed $seed: $it" }
    }

    @ParameterizedTest
    @CsvSource("1", "4", "5", "26", "38", "100")
    fun `a fleet keeps the limits of an endpoint whatever happens to its instances`(size: Int) {
        val seeds = Integer.getInteger("limit.histories", SEEDS)
        assertEquals(emptyList(), violations(size, 1..seeds, ::HolderDivision))
    }

    /** An instance uses the whole limit while it is not listed, as if it were alone. */
    private class WholeWhileUnlisted : LimitDivision {
        private val divided = HolderDivision()

        override fun partOf(endpoint: EndpointId, requestsPerSecond: Double, sharers: LimitSharers) =
            if (sharers.own == null) requestsPerSecond else divided.partOf(endpoint, requestsPerSecond, sharers)
    }

    @Test
    fun `the histories reject a fleet that does not divide the limit`() =
        assertTrue(violations(size = 4, 1..2) { UndividedLimit }.isNotEmpty())

    @Test
    fun `the histories reject instances that use the whole limit while they are not listed`() =
        assertTrue(violations(size = 26, 1..4, ::WholeWhileUnlisted).isNotEmpty())
}

/** Every instance uses the whole limit, as if it were alone. */
internal object UndividedLimit : LimitDivision {
    override fun partOf(endpoint: EndpointId, requestsPerSecond: Double, sharers: LimitSharers) = requestsPerSecond
}
