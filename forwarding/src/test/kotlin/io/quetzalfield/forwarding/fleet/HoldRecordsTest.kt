package io.quetzalfield.forwarding.fleet

import io.quetzalfield.forwarding.choice.HeldSessions
import io.quetzalfield.forwarding.choice.SessionHolds
import io.quetzalfield.model.ServiceId
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.StoreEra
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.fakes.InMemoryKeyValueStore
import org.junit.jupiter.api.Nested
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.TestTimeSource

/** Load pattern: instances know different sessions, and each of them may be the last that has not been restarted. */
class HoldRecordsTest {
    private val store = InMemoryKeyValueStore(TestTimeSource())
    private val records = HoldRecords(store)
    private val service = ServiceId("advisor")

    private fun held(orderRevision: Long, vararg sessions: Long) =
        HeldSessions(service, StoreRevision(orderRevision), sessions.toList())

    private val stored: HeldSessions?
        get() = store.read(FleetKeys.holds(service)).getOrNull()
            ?.let { PlatformJson.decodeFromString(HeldSessions.serializer(), it.value) }

    private fun revision() = store.read(FleetKeys.holds(service)).getOrNull()?.modified

    @Nested
    inner class Records {
        @Test
        fun `sessions of several instances are added to one record`() {
            records.add(listOf(held(7, 1, 2)))
            records.add(listOf(held(7, 2, 3)))
            assertEquals(held(7, 1, 2, 3), stored)
        }

        @Test
        fun `nothing is written when all sessions are stored`() {
            records.add(listOf(held(7, 1, 2)))
            val before = revision()
            records.add(listOf(held(7, 2)))
            assertEquals(before, revision())
        }

        @Test
        fun `a later order replaces the sessions, and an older one changes nothing`() {
            records.add(listOf(held(7, 1)))
            records.add(listOf(held(9, 2)))
            records.add(listOf(held(7, 3)))
            assertEquals(held(9, 2), stored)
        }

        @Test
        fun `a record that cannot be read is replaced`() {
            records.add(listOf(held(7, 1)))
            store.compareAndSwap(FleetKeys.holds(service), checkNotNull(revision()), "unreadable")
            records.add(listOf(held(7, 2)))
            assertEquals(held(7, 2), stored)
        }

        @Test
        fun `a record is bounded`() {
            val sessions = LongArray(SessionHolds.MAXIMUM_STORED + 10) { it.toLong() }
            records.add(listOf(held(7, 0)))
            records.add(listOf(held(7, *sessions)))
            assertEquals(SessionHolds.MAXIMUM_STORED, stored?.sessions?.size)
        }

        @Test
        fun `instances that write at the same time lose none of the sessions`() {
            val writers = (0L until 4).map { number ->
                thread { repeat(25) { HoldRecords(store).add(listOf(held(7, number * 100 + it))) } }
            }
            writers.forEach(Thread::join)
            // A writer that met only conflicts is called again with what is not stored.
            for (number in 0L until 4) records.add(listOf(held(7, *LongArray(25) { number * 100 + it })))
            assertEquals(100, stored?.sessions?.toSet()?.size)
        }
    }

    @Nested
    inner class Holds {
        @Test
        fun `what is stored is held and not reported as missing`() {
            val holds = SessionHolds()
            holds.hold(service, orderRevision = StoreRevision(7), session = 1)
            holds.addRemote(held(7, 2))
            assertEquals(listOf(held(7, 1)), holds.localNotStored)
            assertEquals(listOf(held(7, 1, 2)), holds.knownNotStored)
            holds.addStored(held(7, 1, 2, 3))
            assertEquals(emptyList(), holds.knownNotStored)
            assertTrue(holds.isHeld(service, orderRevision = StoreRevision(7), session = 3))
            assertFalse(holds.isHeld(service, orderRevision = StoreRevision(9), session = 3))
        }

        /** Load pattern: the store is restored and lacks the record, and the order is written again. */
        @Test
        fun `sessions stay held and are stored again for an order of a later era`() {
            val again = StoreRevision.of(StoreEra(1), 3)
            val holds = SessionHolds()
            holds.hold(service, orderRevision = StoreRevision(7), session = 1)
            holds.addStored(held(7, 1, 2))
            holds.continueAt(service, again)
            assertEquals(listOf(HeldSessions(service, again, listOf(1, 2))), holds.knownNotStored)
            assertTrue(holds.isHeld(service, again, session = 2))
            holds.addStored(held(7, 1, 2))
            assertEquals(1, holds.localNotStored.size)
        }

        /** Any instance may be restarted at any time; only stored sessions outlive their instance. */
        @Test
        fun `no session that was stored is lost in any order of restarts`() {
            repeat(200) { seed -> playRestarts(InMemoryKeyValueStore(TestTimeSource()), Random(seed)) }
        }

        private fun playRestarts(shared: InMemoryKeyValueStore, random: Random) {
            fun read() = shared.read(FleetKeys.holds(service)).getOrNull()
                ?.let { PlatformJson.decodeFromString(HeldSessions.serializer(), it.value) }
            fun started() = SessionHolds().apply { read()?.let(::addStored) }
            val instances = MutableList(4) { started() }
            val expected = HashSet<Long>()
            repeat(40) { step ->
                val index = random.nextInt(instances.size)
                instances[index].hold(service, orderRevision = StoreRevision(7), session = step.toLong())
                expected += step.toLong()
                // A planned stop stores what the instance holds; the instance that takes its place starts anew.
                HoldRecords(shared).add(instances[index].localNotStored)
                if (random.nextBoolean()) instances[index] = started()
                instances.forEach { instance -> read()?.let(instance::addStored) }
            }
            for (instance in instances + started()) {
                assertTrue(expected.all { instance.isHeld(service, orderRevision = StoreRevision(7), session = it) })
            }
        }
    }
}
