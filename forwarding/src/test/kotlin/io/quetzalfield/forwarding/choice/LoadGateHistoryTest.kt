package io.quetzalfield.forwarding.choice

import io.quetzalfield.forwarding.endpoints.EndpointDescription
import io.quetzalfield.forwarding.endpoints.EndpointId
import io.quetzalfield.history.History
import io.quetzalfield.history.HistoryEvent
import io.quetzalfield.history.HistoryEvent.EndpointCold
import io.quetzalfield.history.HistoryEvent.EvacuationEnded
import io.quetzalfield.history.HistoryEvent.EvacuationOrdered
import io.quetzalfield.history.HistoryHeader
import io.quetzalfield.history.PromiseChecker
import io.quetzalfield.history.Verdict
import io.quetzalfield.history.coldEndpointChecker
import io.quetzalfield.history.evacuationChecker
import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.HostPort
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.ServiceId
import io.quetzalfield.model.VersionId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Load pattern: failure domains are evacuated and come back cold, and endpoints start again cold, while every instance
 * has requests that it would send there, and instances are killed, frozen, cut off, restarted in turn and lose their
 * leases. `-Dgate.histories=N` plays N seeds of each size.
 */
class LoadGateHistoryTest {
    private class GateHistory(seed: Int, private val size: Int, gates: Gates) {
        private val random = Random(seed)
        private val fleet = GatedFleet(size, random, gates)
        private val state = fleet.state
        private val events = mutableListOf<HistoryEvent>()
        private var nextStart = 1L

        fun play(): History {
            for (domain in Domains) repeat(2) { put("runner-$domain-$it", domain) }
            fleet.onStateChanged()
            val steps = (Length / GatedFleet.Step).toInt()
            repeat(steps) { step ->
                fleet.pass()
                // What no instance can learn is not covered.
                if (step % 250 == 100 && fleet.instances.any { it.reachesStore }) changeEndpoints()
                if (random.nextInt(150) == 0) disturb()
            }
            return History(HistoryHeader(), events + fleet.arrivals)
        }

        private fun put(id: String, domain: String) {
            state.entries[id] = EndpointDescription(
                id = EndpointId(id),
                service = ServiceId("advisor"),
                address = HostPort("10.0.1.1", 1),
                failureDomain = domain,
                version = VersionId("v1"),
                capacity = 4,
                start = nextStart++,
            )
        }

        private fun changeEndpoints() {
            val evacuated = state.evacuated.firstOrNull()
            when {
                random.nextInt(3) == 0 -> restartEndpoint(state.entries.keys.random(random))
                evacuated != null -> takeBack(evacuated)
                else -> evacuate(FailureDomainId(Domains.random(random)))
            }
        }

        private fun evacuate(domain: FailureDomainId) {
            events += EvacuationOrdered(fleet.now(), domain)
            state.evacuated += domain
            fleet.onStateChanged()
        }

        /** The entries show only later that the endpoints are cold. */
        private fun takeBack(domain: FailureDomainId) {
            events += EvacuationEnded(fleet.now(), domain)
            state.evacuated -= domain
            val until = fleet.time.markNow() + GatedFleet.ColdTime
            val ids = state.entries.values.filter { it.failureDomain == domain.value }.map { it.id.value }
            ids.forEach(::recordCold)
            fleet.deliver(200.milliseconds) { ids.forEach { state.coldUntil[it] = until } }
            fleet.onStateChanged()
        }

        private fun recordCold(id: String) {
            val until = fleet.now() + GatedFleet.ColdTime
            val most = (GatedFleet.COLD_PER_SECOND * 1.5 + 5).toInt()
            events += EndpointCold(fleet.now(), InstanceId(id), until, most)
        }

        private fun restartEndpoint(id: String) {
            val domain = state.entries.remove(id)?.failureDomain ?: return
            fleet.onStateChanged()
            fleet.deliver(random.nextInt(500, 2_000).milliseconds) { beginCold(id, domain) }
        }

        private fun beginCold(id: String, domain: String) {
            if (fleet.instances.none { it.reachesStore }) return fleet.deliver(1.seconds) { beginCold(id, domain) }
            put(id, domain)
            state.coldUntil[id] = fleet.time.markNow() + GatedFleet.ColdTime
            recordCold(id)
            fleet.onStateChanged()
        }

        private fun disturb() {
            val one = fleet.instances.random(random)
            when (random.nextInt(6)) {
                0 -> end(one, one::kill)

                1 -> fleet.instances.shuffled(random).take(size * 6 / 10).forEach { end(it, it::kill) }

                2 -> one.freeze(upTo(8.seconds))

                3 -> one.cutOff(upTo(12.seconds))

                4 -> fleet.instances.forEachIndexed { index, instance ->
                    fleet.deliver((index * 4_000 / size).milliseconds) { end(instance, instance::stop) }
                }

                else -> loseStore()
            }
        }

        private fun end(instance: GatedFleet.Instance, how: () -> Unit) {
            how()
            fleet.deliver(upTo(2.seconds) + 300.milliseconds, instance::start)
        }

        /** The store is away for longer than the leases last. */
        private fun loseStore() {
            if (state.isAway) return
            state.isAway = true
            fleet.deliver(upTo(8.seconds)) {
                state.isAway = false
                state.listed.clear()
                fleet.onStateChanged()
            }
        }

        private fun upTo(longest: Duration) = longest * random.nextDouble()
    }

    private fun verdicts(checker: PromiseChecker<*>, size: Int, seeds: IntRange, gates: Gates = Gates()) =
        seeds.associateWith { checker.check(GateHistory(it, size, gates).play()) }

    private fun assertHolds(size: Int, seeds: IntRange) {
        val histories = seeds.associateWith { GateHistory(it, size, Gates()).play() }
        for (checker in listOf(evacuationChecker, coldEndpointChecker)) {
            val found = histories.mapValues { checker.check(it.value) }
            val broken = found.mapNotNull { (seed, verdict) -> (verdict as? Verdict.Broken)?.let { seed to it } }
            assertEquals(emptyList(), broken)
            assertTrue(found.values.any { it is Verdict.Holds }, "no case of ${checker.promise}")
        }
    }

    @ParameterizedTest
    @ValueSource(ints = [1, 4, 26, 100])
    fun `evacuated failure domains get nothing and cold endpoints what they bear`(size: Int) =
        assertHolds(size, 1..(Integer.getInteger("gate.histories") ?: (SEEDS / size).coerceIn(1, SEEDS / 2)))

    /** What the histories have to reject. */
    @Nested
    inner class BrokenVariants {
        private fun assertRejected(checker: PromiseChecker<*>, size: Int, gates: Gates) = assertTrue(
            verdicts(checker, size, 1..(SEEDS / size).coerceAtLeast(1), gates).values.any {
                it is Verdict.Broken
            },
        )

        @ParameterizedTest
        @CsvSource("4", "26", "100")
        fun `cold endpoints without a limit`(size: Int) =
            assertRejected(coldEndpointChecker, size, Gates(coldRate = null))

        @ParameterizedTest
        @CsvSource("4", "26", "100")
        fun `instances that each use the whole limit`(size: Int) =
            assertRejected(coldEndpointChecker, size, Gates(division = { UndividedLimit }))

        /** Seeds 14 and 16 of four instances: an order was given while an instance was cut off from the store. */
        @Test
        fun `instances that confirm their configuration after a gap without reading the orders`() =
            assertRejected(evacuationChecker, size = 4, Gates(listsAfterGap = false))

        @Test
        fun `instances that go on with the orders that they know however old they are`() =
            assertRejected(evacuationChecker, size = 4, Gates(confirmationBound = Duration.INFINITE))
    }

    private companion object {
        /** Fewer of large fleets, which take longer. */
        const val SEEDS = 80
        val Length = 60.seconds
        val Domains = listOf("a", "b", "c")
    }
}
