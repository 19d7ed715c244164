package io.quetzalfield.peer

import arrow.core.Either
import io.quetzalfield.peer.wire.ListsOffer
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds

class PeerClientsTest {
    private fun callOf(address: String): PeerError = PeerClients().use { clients ->
        val result = clients.call(address, 5.seconds) { it.exchangeLists(ListsOffer.getDefaultInstance()) }
        assertIs<Either.Left<PeerError>>(result).value
    }

    @Test
    fun `a call to a peer that accepts no connection has not reached it`() {
        val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        assertIs<PeerError.Unreachable>(callOf("127.0.0.1:$port"))
    }

    @Test
    fun `a call to a peer that ends the connection may have reached it`() {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
            thread(isDaemon = true) {
                while (!server.isClosed) runCatching { server.accept().use { it.getInputStream().read() } }
            }
            assertIs<PeerError.OutcomeUnknown>(callOf("127.0.0.1:${server.localPort}"))
        }
    }
}
