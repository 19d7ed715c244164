package io.quetzalfield.forwarding.crashes

import io.netty.channel.embedded.EmbeddedChannel
import io.quetzalfield.forwarding.RouterMetrics
import io.quetzalfield.forwarding.http.EndpointConnections
import io.quetzalfield.model.RequestFingerprint
import io.quetzalfield.model.RunnerId
import org.junit.jupiter.api.AfterEach
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

private const val ANSWERED = "5e5e"
private const val FATAL = "fa7a1"

/** The times at which a guard decides, on an event loop whose clock stands still. */
class CrashGuardTest {
    private val rules = CrashRules()
    private val time = TestTimeSource()
    private val channel = EmbeddedChannel().apply { freezeTime() }
    private val connections = EndpointConnections(channel.eventLoop(), time)
    private val guard = CrashGuard(channel.eventLoop(), connections, RouterMetrics(), time)
    private var endpoints = 0

    @AfterEach
    fun close() {
        channel.close()
    }

    private fun wait(duration: Duration) {
        time += duration
        channel.advanceTimeBy(duration.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        channel.runScheduledPendingTasks()
    }

    /** Lets the guard learn that the next endpoint ended by a request with [part]. */
    private fun crash(part: String) {
        val number = ++endpoints
        val candidate = CrashCandidate(RequestFingerprint("request-$number"), listOf(part), hasBegun = true)
        val loss = LossReport(RunnerId("runner-$number@1"), 0, isConfirmed = true, candidates = listOf(candidate))
        guard.learn(CrashNews(losses = listOf(loss)), sender = "other")
    }

    private fun isRefused(part: String) = guard.isRefused(listOf(part)) { RequestFingerprint("new") }

    @Test
    fun `a part is decided on in its time while another one has longer to wait`() {
        guard.learn(CrashNews(proofs = listOf(ProofReport(ANSWERED, ageMilliseconds = 0))), sender = "other")
        repeat(rules.answeredPartCrashes) {
            wait(400.milliseconds)
            crash(ANSWERED)
        }
        wait(100.milliseconds)
        repeat(rules.partCrashes) { crash(FATAL) }
        wait(10.milliseconds)
        assertEquals(listOf(false, false), listOf(ANSWERED, FATAL).map(::isRefused))
        wait(rules.settling)
        assertEquals(listOf(false, true), listOf(ANSWERED, FATAL).map(::isRefused))
        wait(rules.answeredSettling - rules.settling)
        assertEquals(listOf(true, true), listOf(ANSWERED, FATAL).map(::isRefused))
    }
}
