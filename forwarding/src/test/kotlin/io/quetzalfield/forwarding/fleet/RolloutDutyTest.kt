package io.quetzalfield.forwarding.fleet

import io.quetzalfield.forwarding.choice.RolloutPhase
import io.quetzalfield.forwarding.choice.RolloutStep
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.ServiceId
import io.quetzalfield.model.VersionId
import io.quetzalfield.store.DutyLease
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.StoreEra
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.fakes.InMemoryKeyValueStore
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class RolloutDutyTest {
    private val time = TestTimeSource()
    private val store = InMemoryKeyValueStore(time)
    private val order = RolloutOrder(ServiceId("advisor"), VersionId("v2"), ramp = 24.seconds, StoreRevision(7))
    private val reports = mutableListOf<Pair<Duration, RolloutPhase>>()
    private val start = time.markNow()
    private var requestsPerSecond = 300.0

    private inner class Holder(name: String) {
        private val incarnation = Incarnation(InstanceId(name), "1")
        val held get() = lease.held
        private val lease = DutyLease(store, "version-rollouts", incarnation, 3.seconds, 500.milliseconds, time)
        var knownStep: RolloutStep? = null
        private val duty = RolloutDuty(
            store = store,
            lease = lease,
            reports = { _, phase -> reports.add(start.elapsedNow() to phase) },
            timeSource = time,
            requestsPerSecond = { requestsPerSecond },
            knownStep = { knownStep },
        )

        val isAwaitingConfirmation get() = duty.isAwaitingConfirmation

        fun see(order: RolloutOrder = this@RolloutDutyTest.order) = duty.setOrders(listOf(order))

        fun work(order: RolloutOrder = this@RolloutDutyTest.order) {
            lease.renew()
            duty.work(listOf(order))
        }
    }

    private val step: RolloutStep?
        get() = store.read(FleetKeys.step(order.service)).getOrNull()
            ?.let { PlatformJson.decodeFromString(RolloutRecord.serializer(), it.value).step }

    private val observer = VersionObserver()
    private val observationKey = FleetKeys.observations(order.service, Incarnation(InstanceId("front-9"), "1"))

    /** Lets an instance answer requests with a sound version for one period, and store what it observed. */
    private fun answer() {
        val current = step ?: return
        observer.recordShare(order.service, current.share)
        repeat(30) {
            val isNew = it < current.share * 30
            observer.countAnswer(order.service, if (isNew) order.target else VersionId("v1"))
        }
        val record = observer.recordOf(order.service, order.target, current)
        val revision = store.read(observationKey).getOrNull()?.modified ?: StoreRevision.Absent
        val json = PlatformJson.encodeToString(ObservationRecord.serializer(), record)
        store.compareAndSwap(observationKey, revision, json)
    }

    /** Lets [holder] work once per period until [end]; returns the share after each period. */
    private fun work(holder: Holder, end: Duration): List<Double> = buildList {
        while (start.elapsedNow() < end) {
            time += Period
            answer()
            holder.work()
            add(step?.share ?: 0.0)
        }
    }

    /** Load pattern: the traffic varies, and with it the share computed from it; each growth moves sessions. */
    @Test
    fun `the first share stays constant while the traffic changes`() {
        val holder = Holder("front-1").also { it.see() }
        val shares = work(holder, 4.seconds).toSet() + (1..8).flatMap {
            requestsPerSecond -= 20
            work(holder, 4.seconds + 1.seconds * it)
        }
        assertEquals(2, shares.size, "only 0 and then the first share: $shares")
    }

    @Test
    fun `the first share is announced for a while before it takes effect`() {
        val holder = Holder("front-1").also { it.see() }
        work(holder, Period)
        val announced = checkNotNull(step)
        assertEquals(0.0, announced.share)
        assertTrue(announced.firstShare > 0)
        work(holder, Period + 1_600.milliseconds)
        assertEquals(0.0, step?.share)
        work(holder, 5.seconds)
        assertEquals(announced.firstShare, step?.share)
    }

    @Test
    fun `a new holder applies the announced share after its own preparation time`() {
        work(Holder("front-1").also { it.see() }, 1_600.milliseconds)
        val announced = checkNotNull(step).firstShare
        requestsPerSecond = 50.0
        time += 4.seconds
        val next = Holder("front-2").also { it.see() }
        next.work()
        assertEquals(0.0, step?.share)
        work(next, start.elapsedNow() + 3.seconds)
        assertEquals(announced, step?.share)
    }

    /** A roll-out was 0.26 s late because its order arrived a period before the duty first worked on it. */
    @Test
    fun `the time of an order counts from its arrival, and it is reported complete in time`() {
        val holder = Holder("front-1").also { it.see() }
        time += 1.seconds
        work(holder, order.ramp + 5.seconds)
        val (at, _) = reports.single { it.second == RolloutPhase.COMPLETE }
        assertTrue(at in 21.5.seconds..(order.ramp - 500.milliseconds), "reported after $at")
    }

    /** Load pattern: no instance holds the duty until the time of the order has passed. */
    @Nested
    inner class FirstWorkedOnAfterItsTime {
        private val holder = Holder("front-1").also { it.see() }

        @Test
        fun `a sound version is completed once its answers show it, and last reported so`() {
            time += order.ramp
            work(holder, order.ramp * 2)
            assertEquals(listOf(RolloutPhase.RUNNING, RolloutPhase.COMPLETE), reports.map { it.second })
        }

        @Test
        fun `a version without an answer is not completed, and last reported as reverted`() {
            time += order.ramp
            while (start.elapsedNow() < order.ramp * 2 + Period * 2) {
                holder.work()
                time += Period
            }
            assertEquals(listOf(RolloutPhase.RUNNING, RolloutPhase.REVERTED), reports.map { it.second })
        }
    }

    /** Load pattern: the holder returns from an outage, and the others have not stored what they saw meanwhile. */
    @Nested
    inner class Interrupted {
        private val holder = Holder("front-1").also { it.see() }

        @Test
        fun `the share does not grow before the instances have confirmed a further step`() {
            work(holder, 8.seconds)
            val before = checkNotNull(step)
            time += 10.seconds
            repeat(8) {
                time += Period
                holder.work()
            }
            assertEquals(before.copy(number = before.number + 1), step)
            work(holder, start.elapsedNow() + Period * 2)
            assertTrue(checkNotNull(step).share > before.share)
        }

        @Test
        fun `the duty asks to be called again soon while it waits`() {
            work(holder, 8.seconds)
            time += 10.seconds
            repeat(2) { holder.work() }
            assertTrue(holder.isAwaitingConfirmation)
            work(holder, start.elapsedNow() + Period * 2)
            assertFalse(holder.isAwaitingConfirmation)
        }
    }

    /** Load pattern: the store is restored from a backup, and the operator writes the order again. */
    @Nested
    inner class Restored {
        private val empty = store.backUp()
        private val again = order.copy(revision = StoreRevision.of(StoreEra(1), 3))

        private fun workOn(holder: Holder, period: Duration) {
            val begin = time.markNow()
            while (begin.elapsedNow() < period) {
                time += Period
                answer()
                holder.work(again)
            }
        }

        @Test
        fun `a holder whose lease the restored store lacks no longer holds the duty`() {
            val holder = Holder("front-1").also { it.see() }
            work(holder, 4.seconds)
            store.restore(empty)
            assertNull(holder.held)
            workOn(holder, Period * 2)
            assertNotNull(holder.held)
        }

        @Test
        fun `the roll-out continues at the step that the instance knows, in the time of the first order`() {
            val holder = Holder("front-1").also { it.see() }
            work(holder, 16.seconds)
            val before = checkNotNull(step)
            assertTrue(before.share > 0)
            store.restore(empty)
            holder.knownStep = before
            holder.see(again)
            workOn(holder, Period * 2)
            assertEquals(before.share to again.revision, step?.let { it.share to it.orderRevision })
            workOn(holder, 7.seconds)
            assertEquals(RolloutPhase.COMPLETE, step?.phase)
            assertTrue(reports.last().first <= order.ramp)
        }

        @Test
        fun `a roll-out that had ended is reported again and not begun anew`() {
            val holder = Holder("front-1").also { it.see() }
            work(holder, order.ramp + 1.seconds)
            val ended = checkNotNull(step)
            store.restore(empty)
            reports.clear()
            holder.knownStep = ended
            holder.see(again)
            workOn(holder, 3.seconds)
            assertEquals(listOf(RolloutPhase.COMPLETE), reports.map { it.second })
            assertEquals(ended.copy(orderRevision = again.revision), step)
        }

        @Test
        fun `a holder that knows nothing continues at the step of the backup`() {
            work(Holder("front-1").also { it.see() }, 16.seconds)
            val before = checkNotNull(step)
            store.restore(store.backUp())
            val next = Holder("front-2").also { it.see(again) }
            workOn(next, 5.seconds)
            assertTrue(checkNotNull(step).share >= before.share)
        }
    }

    private companion object {
        val Period = 840.milliseconds
    }
}
