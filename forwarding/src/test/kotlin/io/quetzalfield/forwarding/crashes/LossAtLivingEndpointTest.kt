package io.quetzalfield.forwarding.crashes

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.quetzalfield.forwarding.RouterMetrics
import io.quetzalfield.forwarding.endpoints.EndpointDirectory
import io.quetzalfield.forwarding.endpoints.EndpointId
import io.quetzalfield.forwarding.endpoints.description
import io.quetzalfield.forwarding.http.EndpointConnections
import io.quetzalfield.model.RequestFingerprint
import org.junit.jupiter.api.AfterEach
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.test.Test
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Load pattern: two endpoints reset a call of one request and live on, and nobody calls them afterwards. */
class LossAtLivingEndpointTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val eventLoop = group.next()
    private val directory = EndpointDirectory()
    private val servers = List(2) { ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress()) }
    private val guard =
        CrashGuard(eventLoop, EndpointConnections(eventLoop), RouterMetrics(), endpointOf = directory::findStart)
    private val request = RequestFingerprint("request-1")

    @AfterEach
    fun stop() {
        servers.forEach(ServerSocket::close)
        group.shutdownGracefully(0, 0, java.util.concurrent.TimeUnit.SECONDS)
    }

    private fun <R> onLoop(action: () -> R): R = eventLoop.submit<R>(action).get()

    private fun admission() = onLoop { guard.admission(emptyList()) { request } }

    private fun loseBoth() = onLoop {
        servers.forEachIndexed { number, server ->
            directory.update(description("runner-$number", port = server.localPort))
            val endpoint = checkNotNull(directory.find(EndpointId("runner-$number")))
            guard.recordLoss(endpoint, CrashCandidate(request, emptyList(), hasBegun = false))
        }
    }

    private fun isAllowedWithin(duration: Duration): Boolean {
        val start = TimeSource.Monotonic.markNow()
        while (start.elapsedNow() < duration) {
            if (admission() is CrashAdmission.Allowed) return true
            Thread.sleep(POLL_MILLISECONDS)
        }
        return false
    }

    @Test
    fun `the request is sent again as soon as they have taken a connection`() {
        loseBoth()
        val refused = assertIs<CrashAdmission.Refused>(admission())
        assertTrue(!refused.isConfirmed)
        assertTrue(isAllowedWithin(CrashRules().confirmationTime - 5.seconds), "it is held back")
    }

    @Test
    fun `it is held back while they take none`() {
        servers.forEach(ServerSocket::close)
        loseBoth()
        assertTrue(!isAllowedWithin(2.seconds), "a loss at an endpoint that has ended was taken for a reset")
    }

    private companion object {
        const val BACKLOG = 8
        const val POLL_MILLISECONDS = 20L
    }
}
