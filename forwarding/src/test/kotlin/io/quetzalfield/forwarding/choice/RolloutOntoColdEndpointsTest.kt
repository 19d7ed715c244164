package io.quetzalfield.forwarding.choice

import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.endpoints.EndpointDirectory
import io.quetzalfield.forwarding.endpoints.description
import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.ServiceId
import io.quetzalfield.model.VersionId
import io.quetzalfield.store.StoreRevision
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Load pattern: a roll-out begins as the endpoints of the new version have just started, and all of them are cold. */
class RolloutOntoColdEndpointsTest {
    private val service = ServiceId("advisor")
    private val time = TestTimeSource()
    private val own = InstanceId("front-1")
    private val limits = EndpointLimits(time, coldRate = { COLD_RATE }) { LimitSharers(own, setOf(own)) }
    private val split = VersionSplit(time)
    private val directory = EndpointDirectory(time).apply {
        update(description("old-1").copy(failureDomain = "west"))
        update(description("old-2", port = 2).copy(failureDomain = "north"))
        update(description("new-1", port = 3, version = "v2").copy(failureDomain = "east", coldFor = ColdTime))
    }
    private val refused = mutableListOf<RolloutSubject>()
    private val sent = mutableListOf<Pair<Endpoint, RolloutSubject>>()

    private fun beginRollout(share: Double) {
        split.applyOrder(service, VersionId("v2"), StoreRevision(7))
        split.applyStep(
            RolloutStep(service, VersionId("v2"), StoreRevision(7), RolloutPhase.RUNNING, share, firstShare = 0.1),
        )
    }

    private fun versionOf(subject: RolloutSubject): String? {
        val open = split.filterOpen(service, subject, directory.eligible(service), limits::mayReceive)
            .firstOrNull(limits::mayReceive) ?: return null.also { refused += subject }
        limits.recordSend(open)
        sent += open to subject
        return open.description.version.value
    }

    /** Sends a request every 10 ms. */
    private fun sendFor(duration: Duration, isSession: Boolean = false) = repeat((duration / 10.milliseconds).toInt()) {
        time += 10.milliseconds
        versionOf(RolloutSubject("subject-${time.markNow()}-$it", isSession))
    }

    private fun sentTo(version: String) = sent.count { it.first.description.version == VersionId(version) }

    @Nested
    inner class WhileTheyAreCold {
        @Test
        fun `they get what they bear, and the rest of the share runs on the version before at once`() {
            beginRollout(share = 0.5)
            sendFor(ColdTime)
            assertEquals(0, refused.size)
            assertTrue(sentTo("v2") in 8..(COLD_RATE * 4 + 3).toInt(), "${sentTo("v2")} requests")
            assertEquals((ColdTime / 10.milliseconds).toInt(), sent.size)
        }

        @Test
        fun `the share is not made good afterwards`() {
            beginRollout(share = 0.5)
            sendFor(ColdTime + 10.milliseconds)
            val before = sentTo("v2")
            sendFor(10.seconds)
            assertEquals(0.5, (sentTo("v2") - before) / 1_000.0, absoluteTolerance = 0.06)
        }

        @Test
        fun `a session of the share is not moved to the version before`() {
            beginRollout(share = 0.5)
            sendFor(ColdTime, isSession = true)
            assertTrue(refused.isNotEmpty() && refused.all(RolloutSubject::isSession))
            assertTrue(sent.none { (endpoint, subject) -> isOfShare(subject) != endpoint.isNew() })
        }

        private fun isOfShare(subject: RolloutSubject) = VersionSplit.fractionOf(subject) < 0.5

        private fun Endpoint.isNew() = description.version == VersionId("v2")
    }

    @Test
    fun `requests of the version before never run on the new one, as that would exceed the share`() {
        directory.eligible(service).filter { it.description.version == VersionId("v1") }
            .forEach { limits.record(it, 0.0, time.markNow()) }
        beginRollout(share = 0.0)
        sendFor(1.seconds)
        assertEquals(0, sent.size)
    }

    @Nested
    inner class Evacuation {
        @Test
        fun `the share runs on the version before while the domain of the new one is evacuated`() {
            beginRollout(share = 0.5)
            directory.evacuate(setOf(FailureDomainId("east"))) { ColdTime }
            sendFor(1.seconds)
            assertEquals(0, refused.size)
            assertEquals(0, sentTo("v2"))
        }

        @Test
        fun `a session that is held on the version before stays there in another domain`() {
            val held = generateSequence(1) { it + 1 }.map { RolloutSubject("session-$it", isSession = true) }
                .first { VersionSplit.fractionOf(it) < 0.1 }
            beginRollout(share = 0.0)
            assertEquals("v1", versionOf(held))
            beginRollout(share = 0.1)
            directory.evacuate(setOf(FailureDomainId("west"))) { ColdTime }
            assertEquals("v1", versionOf(held))
            assertEquals("old-2", sent.last().first.id.value)
        }

        @Test
        fun `the new version gets its share again, at first what its cold endpoints bear`() {
            beginRollout(share = 0.5)
            directory.evacuate(setOf(FailureDomainId("east"))) { ColdTime }
            time += 10.seconds
            directory.evacuate(emptySet()) { ColdTime }
            sendFor(1.seconds)
            assertTrue(sentTo("v2") in 1..(COLD_RATE * 1.5).toInt() + 1, "${sentTo("v2")} requests")
            assertEquals(0, refused.size)
        }
    }

    private companion object {
        const val COLD_RATE = 6.0
        val ColdTime = 4.seconds
    }
}
