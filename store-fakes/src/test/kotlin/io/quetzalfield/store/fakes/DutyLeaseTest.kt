package io.quetzalfield.store.fakes

import arrow.core.Either
import arrow.core.left
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.store.DutyLease
import io.quetzalfield.store.DutyRoster
import io.quetzalfield.store.KeyValueError
import io.quetzalfield.store.KeyValueStore
import io.quetzalfield.store.LeaseId
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.StoredValue
import io.quetzalfield.store.SwapResult
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Injects a fault at call number [faultAt]: elapsed time, a lost response or a refused call; 0 for none. */
private class FaultyStore(
    private val delegate: KeyValueStore,
    private val faultAt: Int,
    private val before: () -> Unit = {},
    private val after: () -> Unit = {},
    private val isLost: Boolean = false,
    private val isRefused: Boolean = false,
) : KeyValueStore by delegate {
    private var calls = 0

    private fun <T> call(action: () -> Either<KeyValueError, T>): Either<KeyValueError, T> {
        if (++calls != faultAt) return action()
        before()
        if (isRefused) return KeyValueError.Unavailable("refused").left()
        val result = action()
        after()
        return if (isLost) KeyValueError.OutcomeUnknown("lost").left() else result
    }

    override fun read(key: String): Either<KeyValueError, StoredValue?> = call { delegate.read(key) }

    override fun compareAndSwap(
        key: String,
        expected: StoreRevision,
        value: String,
        lease: LeaseId?,
    ): Either<KeyValueError, SwapResult> = call { delegate.compareAndSwap(key, expected, value, lease) }

    override fun grantLease(timeToLive: Duration): Either<KeyValueError, LeaseId> =
        call { delegate.grantLease(timeToLive) }

    override fun keepAlive(lease: LeaseId): Either<KeyValueError, Boolean> = call { delegate.keepAlive(lease) }
}

class DutyLeaseTest {
    private val time = TestTimeSource()
    private val store = InMemoryKeyValueStore(time)

    private fun lease(name: String, store: KeyValueStore = this.store) =
        DutyLease(store, "bills", Incarnation(InstanceId(name), "1"), TIME_TO_LIVE, MARGIN, time)

    /** Renews both repeatedly and checks after each renewal that at most one of them holds the duty. */
    private fun assertNeverBothHold(case: String, first: DutyLease, second: DutyLease) {
        repeat(30) { step ->
            first.renew()
            assertTrue(first.held == null || second.held == null, "$case: both hold at step $step")
            second.renew()
            assertTrue(first.held == null || second.held == null, "$case: both hold at step $step")
            time += 1.seconds
        }
        assertTrue(first.held != null || second.held != null, "$case: nobody holds at the end")
    }

    @Nested
    inner class Faults {
        /** The first renewal makes 4 calls and each later one 2, so these numbers extend into the fourth renewal. */
        private val callNumbers = 1..10

        @Test
        fun `no fault at any call results in two holders`() {
            val faults: Map<String, (Int) -> KeyValueStore> = mapOf(
                "lost response" to { FaultyStore(store, it, isLost = true) },
                "refused call" to { FaultyStore(store, it, isRefused = true) },
                "pause before" to { FaultyStore(store, it, before = { time += 7.seconds }) },
                "pause after" to { FaultyStore(store, it, after = { time += 7.seconds }) },
                "slow and lost" to { FaultyStore(store, it, after = { time += 3.seconds }, isLost = true) },
            )
            for ((fault, storeWith) in faults) {
                for (call in callNumbers) {
                    store.read("duties/bills").getOrNull()?.let { store.compareAndDelete(it.key, it.modified) }
                    assertNeverBothHold("$fault at call $call", lease("steward-1", storeWith(call)), lease("steward-2"))
                }
            }
        }

        @Test
        fun `a holder whose lease extensions are refused while its reads succeed stops in time`() {
            val readsOnly = object : KeyValueStore by store {
                override fun keepAlive(lease: LeaseId): Either<KeyValueError, Boolean> =
                    KeyValueError.Unavailable("refused").left()
            }
            val holder = lease("steward-1", readsOnly)
            holder.renew()
            time += 3.seconds
            holder.renew()
            time += 3.5.seconds
            val next = lease("steward-2")
            next.renew()
            assertNotNull(next.held)
            assertNull(holder.held)
        }

        @Test
        fun `a holder that was paused past its lease no longer holds the duty`() {
            val holder = lease("steward-1")
            holder.renew()
            time += 10.seconds
            assertNull(holder.held)
        }
    }

    @Nested
    inner class Succession {
        @Test
        fun `the next holder has a higher fencing number`() {
            val first = lease("steward-1")
            first.renew()
            val firstNumber = assertNotNull(first.held).fencingNumber
            time += 7.seconds
            val second = lease("steward-2")
            second.renew()
            assertTrue(assertNotNull(second.held).fencingNumber > firstNumber)
        }

        @Test
        fun `a released duty can be acquired at once`() {
            val first = lease("steward-1")
            first.renew()
            first.release()
            val second = lease("steward-2")
            second.renew()
            assertNotNull(second.held)
        }

        @Test
        fun `waiting for a held duty costs one read each time`() {
            lease("steward-1").renew()
            val before = store.callCount
            lease("steward-2").renew()
            assertEquals(1, store.callCount - before)
        }
    }

    @Nested
    inner class Roster {
        private fun newRoster(steward: String, firstDuty: String): DutyRoster {
            val leases = listOf("bills", "orders").associateWith { duty ->
                DutyLease(store, duty, Incarnation(InstanceId(steward), "1"), TIME_TO_LIVE, MARGIN, time)
            }
            return DutyRoster(leases, rank = { if (it == firstDuty) 0 else 1 }, TIME_TO_LIVE, time)
        }

        @Test
        fun `duties are spread over the stewards and are taken over when one dies`() {
            val first = newRoster("steward-1", "bills")
            val second = newRoster("steward-2", "orders")
            repeat(8) {
                first.renew()
                second.renew()
                time += 1.seconds
            }
            assertNotNull(first.held("bills"))
            assertNotNull(second.held("orders"))
            repeat(8) {
                second.renew()
                time += 1.seconds
            }
            assertNotNull(second.held("bills"))
        }

        @Test
        fun `the number of store calls for a duty hardly grows with the number of stewards`() {
            val rosters = List(LARGE_FLEET) { number ->
                val lease =
                    DutyLease(store, "bills", Incarnation(InstanceId("$number"), "1"), TIME_TO_LIVE, MARGIN, time)
                DutyRoster(mapOf("bills" to lease), rank = { number }, takeoverDelay = 1.seconds, time)
            }
            val seconds = 2 * LARGE_FLEET
            var calls = 0L
            repeat(seconds) { second ->
                if (second == LARGE_FLEET) calls = store.callCount
                rosters.forEach(DutyRoster::renew)
                time += 1.seconds
            }
            assertTrue(
                (store.callCount - calls) / LARGE_FLEET < 10,
                "${store.callCount - calls} calls in $LARGE_FLEET s",
            )
            assertNotNull(rosters.first().held("bills"))
        }
    }

    private companion object {
        const val LARGE_FLEET = 200
        val TIME_TO_LIVE = 6.seconds
        val MARGIN = 2.seconds
    }
}
