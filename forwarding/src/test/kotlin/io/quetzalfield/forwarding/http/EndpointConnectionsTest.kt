package io.quetzalfield.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import io.quetzalfield.model.HostPort
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.ServerSocket
import java.net.SocketException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds

class EndpointConnectionsTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val server = ServerSocket(0, 10, InetAddress.getLoopbackAddress())
    private val address = HostPort("127.0.0.1", server.localPort)
    private val connections = EndpointConnections(group.next())
    private var opened = 0

    init {
        thread(isDaemon = true) {
            try {
                while (true) {
                    val socket = server.accept()
                    opened++
                    thread(isDaemon = true) {
                        val reader = socket.getInputStream().bufferedReader()
                        while (true) {
                            generateSequence(reader::readLine).takeWhile(String::isNotEmpty).toList().ifEmpty { break }
                            socket.getOutputStream().write(
                                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".toByteArray(),
                            )
                        }
                    }
                }
            } catch (_: SocketException) {
                // The test has ended.
            }
        }
    }

    @AfterEach
    fun stop() {
        server.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    /** Sends one request; [onContent] is called as its response is read. */
    private fun exchange(onContent: (EndpointConnection) -> Unit = {}): CompletableFuture<Unit> {
        val done = CompletableFuture<Unit>()
        group.next().execute {
            connections.acquire(address, limit = 1, idleFraction = 1.0, onFailure = { done.cancel(false) }) { opened ->
                val request = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/")
                opened.send(request, Unpooled.EMPTY_BUFFER, Listener(done) { onContent(opened) })
            }
        }
        return done
    }

    private class Listener(private val done: CompletableFuture<Unit>, private val onRead: () -> Unit) :
        ResponseListener {
        override fun onHead(response: HttpResponse): Boolean = true

        override fun onContent(content: ByteBuf) {
            content.release()
            onRead()
        }

        override fun onEnd(end: ResponseEnd) {
            done.complete(Unit)
        }

        override fun onFailure(reason: String, isConnectionLost: Boolean) {
            done.completeExceptionally(IllegalStateException(reason))
        }
    }

    /** A slow caller pauses reading; the response ended with what was read, so that nobody resumed it. */
    @Test
    fun `a connection whose reading was paused at the end of a response is read again`() {
        exchange { it.channel.config().isAutoRead = false }.get(2, TimeUnit.SECONDS)
        exchange().get(2, TimeUnit.SECONDS)
        assertEquals(1, opened, "connections")
    }

    /** What a connection to [address] shows; [whileConnecting] is called as it has been asked for. */
    private fun probe(
        address: HostPort,
        connections: EndpointConnections = this.connections,
        whileConnecting: () -> Unit = {},
    ): ConnectFailure? {
        val result = CompletableFuture<ConnectFailure?>()
        group.next().execute {
            connections.probe(address, staysOpenFor = 25.milliseconds) { result.complete(it) }
            // The attempt to connect begins in a task of its own.
            group.next().execute(whileConnecting)
        }
        return result.get(2, TimeUnit.SECONDS)
    }

    /** The operating system closes the sockets of a process one after another, the listening one often last. */
    @Nested
    inner class EndsOfProcesses {
        private val ending = ServerSocket(0, 10, InetAddress.getLoopbackAddress())
        private val endingAddress = HostPort("127.0.0.1", ending.localPort)

        @Test
        fun `a connection that is reset before it is taken does not show that the endpoint lives on`() {
            val connections = EndpointConnections(group.next(), onOpened = ending::close)
            assertEquals(ConnectFailure.REFUSED, probe(endingAddress, connections))
        }

        @Test
        fun `neither does one that is reset while it is being opened`() {
            assertEquals(ConnectFailure.REFUSED, probe(endingAddress, whileConnecting = ending::close))
        }

        @Test
        fun `the connection to an endpoint that lives on is kept`() {
            assertEquals(null, probe(address))
            exchange().get(2, TimeUnit.SECONDS)
            assertEquals(1, opened, "connections")
        }
    }
}
