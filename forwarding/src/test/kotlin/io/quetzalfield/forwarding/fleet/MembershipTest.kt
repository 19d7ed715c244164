package io.quetzalfield.forwarding.fleet

import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.store.fakes.InMemoryKeyValueStore
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class MembershipTest {
    private val timeSource = TestTimeSource()
    private val store = InMemoryKeyValueStore(timeSource)
    private val record = MemberRecord(Incarnation(InstanceId("front-1"), "start-1"), "127.0.0.1:1", "a")
    private val membership = Membership(store, record)

    private fun listed() = checkNotNull(store.list(FleetKeys.MEMBERS).getOrNull()).size

    @Nested
    inner class Renewing {
        @Test
        fun `an instance is listed while it renews`() {
            repeat(10) {
                membership.renew()
                timeSource += 1.seconds
                assertEquals(1, listed())
            }
            timeSource += 5.seconds
            assertEquals(0, listed())
        }

        @Test
        fun `it joins again when its lease has lapsed`() {
            membership.renew()
            timeSource += 10.seconds
            membership.renew()
            assertEquals(1, listed())
        }

        @Test
        fun `it joins although an answer of the store is lost`() {
            store.loseAnswers(1)
            membership.renew()
            membership.renew()
            assertEquals(1, listed())
        }

        /** Load pattern: the store is restored from a backup, and grants the id of the lost lease again. */
        @Test
        fun `it joins again after the store was restored although its lease id is in use`() {
            val backup = store.backUp()
            membership.renew()
            store.restore(backup)
            assertEquals(0, listed())
            store.grantLease(60.seconds)
            membership.renew()
            assertEquals(1, listed())
        }

        @Test
        fun `an instance that leaves after the store was restored is not listed, and ends no other lease`() {
            membership.renew()
            store.restore(store.backUp())
            val other = Membership(store, record.copy(incarnation = Incarnation(InstanceId("front-2"), "start-1")))
            other.renew()
            membership.leave()
            assertEquals(1, listed())
        }

        @Test
        fun `it joins once the store is available again`() {
            store.isDown = true
            membership.renew()
            store.isDown = false
            membership.renew()
            assertEquals(1, listed())
        }
    }

    @Nested
    inner class Leaving {
        @Test
        fun `an instance that has left does not join again`() {
            membership.renew()
            membership.leave()
            assertEquals(0, listed())
            membership.renew()
            assertEquals(0, listed())
            assertNull(membership.lease)
        }

        @Test
        fun `an instance that leaves while the store is unavailable does not join afterwards`() {
            membership.renew()
            store.isDown = true
            membership.leave()
            store.isDown = false
            timeSource += 4.seconds
            membership.renew()
            assertEquals(0, listed())
        }
    }
}
