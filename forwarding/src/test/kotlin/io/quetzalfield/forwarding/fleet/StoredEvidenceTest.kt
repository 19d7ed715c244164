package io.quetzalfield.forwarding.fleet

import io.quetzalfield.decision.RolloutObservations
import io.quetzalfield.forwarding.choice.RolloutPhase
import io.quetzalfield.forwarding.choice.RolloutStep
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.ServiceId
import io.quetzalfield.model.VersionId
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.fakes.InMemoryKeyValueStore
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class StoredEvidenceTest {
    private val time = TestTimeSource()
    private val store = InMemoryKeyValueStore(time)
    private val order = RolloutOrder(ServiceId("desk"), VersionId("v2"), 16.seconds, StoreRevision(7))
    private val evidence = StoredEvidence(store, time) { 3 }

    private fun step(number: Int) =
        RolloutStep(order.service, order.target, order.revision, RolloutPhase.RUNNING, share = 0.15, number = number)

    private fun collect(number: Int) = checkNotNull(evidence.collect(order, step(number)))

    private fun isCurrent(number: Int) = collect(number).isCurrent

    private fun confirm(instance: Int, number: Int, answers: Long = 0, revision: StoreRevision = order.revision) {
        val key = FleetKeys.observations(order.service, Incarnation(InstanceId("front-$instance"), "1"))
        val counts = ObservationRecord.Counts(answers, 0, 0)
        val record = ObservationRecord(mapOf(order.target to counts), counts, AppliedStep(revision, number))
        val before = store.read(key).getOrNull()?.modified ?: StoreRevision.Absent
        store.compareAndSwap(key, before, PlatformJson.encodeToString(ObservationRecord.serializer(), record))
    }

    private fun confirmAll(number: Int) = (1..3).forEach { confirm(it, number) }

    @Test
    fun `records are current once all instances have applied the step`() {
        collect(0)
        confirm(1, 1)
        confirm(2, 1)
        assertFalse(isCurrent(1))
        confirm(3, 1)
        assertTrue(isCurrent(1))
        assertFalse(isCurrent(2))
    }

    @Test
    fun `half of the instances are enough after a while, as others may have ended`() {
        collect(0)
        confirm(1, 1)
        collect(1)
        time += 2.seconds
        assertFalse(isCurrent(1))
        confirm(2, 1)
        assertTrue(isCurrent(1))
    }

    @Test
    fun `answers under the current share are those of instances that apply it`() {
        collect(0)
        confirm(1, 1, answers = 5)
        confirm(2, 2, answers = 3)
        assertEquals(RolloutObservations(answers = 8, timed = 0), collect(2).new)
        assertEquals(RolloutObservations(answers = 3, timed = 0), collect(2).atShare)
    }

    @Test
    fun `a record of an earlier order does not confirm a step`() {
        collect(0)
        confirmAll(1)
        confirm(3, 1, revision = StoreRevision(5))
        assertFalse(isCurrent(1))
    }

    @Nested
    inner class Interrupted {
        @Test
        fun `an instance that takes the duty over needs a further step`() {
            confirmAll(4)
            assertFalse(isCurrent(4))
            assertTrue(evidence.needsFurtherStep(order, step(4)))
            confirmAll(5)
            assertTrue(isCurrent(5))
            assertFalse(evidence.needsFurtherStep(order, step(5)))
        }

        @Test
        fun `records from before an outage are not current after it`() {
            collect(0)
            confirmAll(1)
            assertTrue(isCurrent(1))
            store.isDown = true
            repeat(4) {
                time += 1.seconds
                assertNull(evidence.collect(order, step(1)))
            }
            store.isDown = false
            assertFalse(isCurrent(1))
            confirmAll(2)
            assertTrue(isCurrent(2))
        }

        @Test
        fun `a short pause is no interruption`() {
            collect(0)
            confirmAll(1)
            time += 1.seconds
            assertTrue(isCurrent(1))
        }
    }
}
