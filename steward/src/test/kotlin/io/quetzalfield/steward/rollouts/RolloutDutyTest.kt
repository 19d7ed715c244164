package io.quetzalfield.steward.rollouts

import io.quetzalfield.decision.RolloutObservations
import io.quetzalfield.model.ClientPlanList
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.Model
import io.quetzalfield.model.ModelId
import io.quetzalfield.model.ModelList
import io.quetzalfield.model.ModelVersion
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.OperatorLists
import io.quetzalfield.model.SigningKey
import io.quetzalfield.model.VersionId
import io.quetzalfield.model.VersionState
import io.quetzalfield.store.DutyLease
import io.quetzalfield.store.LISTS_KEY
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.fakes.InMemoryKeyValueStore
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlin.time.TestTimeSource

private val OLD = ModelVersionReference(ModelId("advisor"), VersionId("1"))
private val NEW = ModelVersionReference(ModelId("advisor"), VersionId("2"))
private val HEALTHY = RolloutObservations(answers = 60, rated = 50, passed = 45)
private val HARMFUL = RolloutObservations(answers = 60, rated = 50, passed = 20)
private val BASELINE = RolloutObservations(answers = 600, rated = 500, passed = 450)

class RolloutDutyTest {
    private val time = TestTimeSource()
    private val origin = time.markNow()
    private val clock = object : Clock {
        override fun now(): Instant = Instant.fromEpochMilliseconds(origin.elapsedNow().inWholeMilliseconds)
    }
    private val store = InMemoryKeyValueStore(time)
    private val entries = FakeEntries()

    private class FakeEntries : RolloutEntries {
        var sums = mapOf(OLD to BASELINE)
        val stopped = mutableListOf<ModelVersionReference>()

        override fun observations() = sums

        override fun stop(version: ModelVersionReference, reason: String, revision: ListsRevision) {
            stopped += version
        }
    }

    private inner class Steward(name: String) {
        val lease = DutyLease(
            store = store,
            name = "rollouts",
            holder = Incarnation(InstanceId(name), "start"),
            timeToLive = 6.seconds,
            margin = 2.seconds,
            timeSource = time,
        )
        val duty = RolloutDuty(store, entries, lease, clock = clock)

        fun run() {
            lease.renew()
            duty.run()
        }
    }

    private fun apply(lists: OperatorLists) {
        val revision = store.read(LISTS_KEY).getOrNull()?.modified ?: StoreRevision.Absent
        store.compareAndSwap(LISTS_KEY, revision, PlatformJson.encodeToString(OperatorLists.serializer(), lists))
    }

    private fun lists(share: Double?) = OperatorLists(
        revision = ListsRevision(7),
        plans = ClientPlanList(signingKeys = listOf(SigningKey("key", "0".repeat(32)))),
        models = ModelList(
            listOf(
                Model(
                    ModelId("advisor"),
                    listOf(
                        ModelVersion(VersionId("1"), costPerThousandTokens = 1.0, priorQuality = 0.9),
                        ModelVersion(
                            id = VersionId("2"),
                            costPerThousandTokens = 1.0,
                            priorQuality = 0.9,
                            newSessionShare = share,
                        ),
                    ),
                ),
            ),
        ),
    )

    private fun stored(): ModelVersion {
        val json = checkNotNull(store.read(LISTS_KEY).getOrNull()).value
        return PlatformJson.decodeFromString(OperatorLists.serializer(), json).models.models.single().versions[1]
    }

    /** Runs [steward] often enough to keep the duty for [duration]. */
    private fun runFor(steward: Steward, duration: Duration) {
        val end = time.markNow() + duration
        while (end.hasNotPassedNow()) {
            time += 2.seconds
            steward.run()
        }
    }

    @Nested
    inner class Steps {
        @Test
        fun `a healthy roll-out advances after the minimum time and number of ratings of its step`() {
            apply(lists(share = 0.05))
            val steward = Steward("steward-1")
            steward.run()
            entries.sums = mapOf(OLD to BASELINE, NEW to HEALTHY)
            runFor(steward, 4.minutes)
            assertEquals(0.05, stored().newSessionShare)
            runFor(steward, 1.minutes)
            assertEquals(0.1, stored().newSessionShare)
        }

        @Test
        fun `a harmful version is stopped at the entries and withdrawn in the lists`() {
            apply(lists(share = 0.05))
            entries.sums = mapOf(OLD to BASELINE, NEW to HARMFUL)
            Steward("steward-1").run()
            assertEquals(listOf(NEW), entries.stopped)
            assertEquals(VersionState.WITHDRAWN to null, stored().let { it.state to it.newSessionShare })
        }

        @Test
        fun `a roll-out that gets no ratings is rolled back`() {
            apply(lists(share = 0.05))
            runFor(Steward("steward-1"), 24.hours + 1.minutes)
            assertEquals(0.0, stored().newSessionShare)
        }
    }

    @Nested
    inner class Faults {
        @Test
        fun `another steward continues the step of one that died`() {
            apply(lists(share = 0.05))
            runFor(Steward("steward-1"), 4.minutes)
            entries.sums = mapOf(OLD to BASELINE, NEW to HEALTHY)
            time += 10.seconds
            runFor(Steward("steward-2"), 1.minutes)
            assertEquals(0.1, stored().newSessionShare)
        }

        @Test
        fun `a steward without the duty changes nothing`() {
            apply(lists(share = 0.05))
            Steward("steward-1").run()
            entries.sums = mapOf(OLD to BASELINE, NEW to HARMFUL)
            Steward("steward-2").run()
            assertEquals(0.05, stored().newSessionShare)
        }

        @Test
        fun `a steward that was paused past its lease changes nothing`() {
            apply(lists(share = 0.05))
            val paused = Steward("steward-1")
            paused.run()
            entries.sums = mapOf(OLD to BASELINE, NEW to HARMFUL)
            time += 5.seconds
            paused.duty.run()
            assertEquals(0.05, stored().newSessionShare)
        }

        @Test
        fun `a stop whose response was lost is not written twice`() {
            apply(lists(share = 0.05))
            val steward = Steward("steward-1")
            steward.run()
            entries.sums = mapOf(OLD to BASELINE, NEW to HARMFUL)
            store.loseAnswers(1)
            steward.duty.run()
            val written = store.read(LISTS_KEY)
            steward.run()
            assertEquals(VersionState.WITHDRAWN, stored().state)
            assertEquals(written, store.read(LISTS_KEY))
        }
    }
}
