package io.quetzalfield.forwarding.fleet

import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.store.fakes.InMemoryKeyValueStore
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Load pattern: a large fleet starts together, serves for minutes, and the store is away for seconds. */
class MembershipCallsTest {
    private val time = TestTimeSource()
    private val store = InMemoryKeyValueStore(time)

    private fun listed() = checkNotNull(store.list(FleetKeys.MEMBERS).getOrNull()).size

    private inner class Fleet(private val size: Int) {
        private var count = 1
        private val members = List(size) { number ->
            val record = MemberRecord(Incarnation(InstanceId("front-$number"), "start"), "10.0.0.1:$number", "a")
            Membership(store, record, time, Random(number)) { count }
        }

        /** Lets each member renew once a second for [duration], and returns the calls that this took. */
        fun run(duration: Duration, isListSeen: Boolean = true): Long {
            val before = store.callCount
            repeat(duration.inWholeSeconds.toInt()) {
                members.forEach(Membership::renew)
                time += 1.seconds
                if (isListSeen) count = size
            }
            return store.callCount - before
        }

        fun end(share: Int) = members.take(size / share).forEach(Membership::leave)
    }

    @Nested
    inner class Calm {
        @Test
        fun `the calls of a large fleet are a sixth of one a second for each instance and fewer`() {
            for (size in listOf(76, 300)) {
                val fleet = Fleet(size)
                fleet.run(30.seconds)
                val each = fleet.run(60.seconds) / 60.0 / size
                assertTrue(each <= 0.17, "$size instances: $each calls a second each")
            }
        }

        /** A new lease for all would cost more than it saves soon. */
        @Test
        fun `instances that join a fleet of 26 extend their leases less often, those that began it do not`() {
            val fleet = Fleet(26)
            assertEquals(26 * 2 + 26 * 59, fleet.run(60.seconds))
            val record = MemberRecord(Incarnation(InstanceId("late"), "start"), "10.0.0.2:1", "a")
            val late = Membership(store, record, time, Random(1)) { 27 }
            val before = store.callCount
            repeat(60) {
                late.renew()
                time += 1.seconds
            }
            assertTrue(store.callCount - before <= 2 + 60 / 3 + 1, "${store.callCount - before} calls")
        }

        @Test
        fun `a small fleet renews as before`() {
            val fleet = Fleet(5)
            assertEquals(5 * 2 + 5 * 59, fleet.run(60.seconds))
        }

        @Test
        fun `all instances stay listed`() {
            val fleet = Fleet(76)
            repeat(120) {
                fleet.run(1.seconds)
                assertEquals(76, listed())
            }
        }
    }

    @Nested
    inner class Away {
        @Test
        fun `instances that joined a large fleet outlive an outage of 12 seconds`() {
            val fleet = Fleet(76)
            fleet.run(40.seconds)
            store.isDown = true
            fleet.run(12.seconds)
            store.isDown = false
            assertEquals(76, listed())
        }

        @Test
        fun `instances of a small fleet that ended are unlisted after three seconds`() {
            val fleet = Fleet(5)
            fleet.run(20.seconds)
            time += 3.1.seconds
            assertEquals(0, listed())
        }

        @Test
        fun `instances that leave a large fleet are unlisted at once`() {
            val fleet = Fleet(76)
            fleet.run(40.seconds)
            fleet.end(share = 2)
            assertEquals(38, listed())
        }
    }
}
