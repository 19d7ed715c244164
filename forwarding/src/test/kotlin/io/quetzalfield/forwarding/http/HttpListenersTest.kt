package io.quetzalfield.forwarding.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.quetzalfield.model.HostPort
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
import java.net.Socket
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Load pattern: clients that send many queries ahead on one connection, beside others that send one. */
class HttpListenersTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val queries = CopyOnWriteArrayList<String>()
    private val port = (
        HttpListeners(group).listenForQueries(HostPort("127.0.0.1", 0)) {
            queries += it
            PlainAnswer(200, body = if (it == "/large") ByteArray(LARGE_ANSWER) else null)
        }.localAddress() as InetSocketAddress
        ).port

    @AfterEach
    fun stop() {
        group.shutdownGracefully().await()
    }

    private fun Socket.send(path: String, count: Int = 1) =
        getOutputStream().write("GET $path HTTP/1.1\r\n\r\n".repeat(count).toByteArray())

    private fun Socket.readStatus(): String {
        val line = getInputStream().bufferedReader().readLine()
        return line.split(' ')[1]
    }

    /** Returns a connection that has been accepted. */
    private fun connect() = Socket("127.0.0.1", port).apply {
        send("/first")
        assertEquals("200", readStatus())
    }

    @Nested
    inner class Queries {
        @Test
        fun `those sent ahead do not delay those of other connections`() {
            val ordinary = listOf(connect(), connect())
            val flooding = connect()
            val late = connect()
            val isReleased = CountDownLatch(1)
            group.execute(isReleased::await)
            flooding.send("/flood", SENT_AHEAD)
            (ordinary + late).forEach { it.send("/ordinary") }
            isReleased.countDown()
            (ordinary + late).forEach { assertEquals("200", it.readStatus()) }
            val before = queries.take(queries.lastIndexOf("/ordinary")).count { it == "/flood" }
            assertTrue(before < MOST_BEFORE, "$before queries of another connection were answered first")
            (ordinary + late + flooding).forEach(Socket::close)
        }

        @Test
        fun `all that one connection sends ahead are answered`() {
            connect().use {
                it.send("/flood", SENT_AHEAD)
                it.shutdownOutput()
                val answers = it.getInputStream().bufferedReader().readLines().count { line -> "200" in line }
                assertEquals(SENT_AHEAD, answers)
            }
        }
    }

    /** What a caller may send beside queries without bodies; each is followed by an ordinary query. */
    @Nested
    inner class Unusual {
        private fun statusesOf(text: String): List<String> = Socket("127.0.0.1", port).use {
            it.soTimeout = 5_000
            it.getOutputStream().write(text.toByteArray())
            it.send("/ordinary")
            it.shutdownOutput()
            it.getInputStream().bufferedReader().readLines().filter { line -> line.startsWith("HTTP/1.1 ") }
                .map { line -> line.split(' ')[1] }
        }

        private fun post(size: Int, headers: String = "") =
            "POST /body HTTP/1.1\r\n${headers}Content-Length: $size\r\n\r\n${"b".repeat(size)}"

        @Test
        fun `a query with a body is answered`() {
            assertEquals(listOf("200", "200"), statusesOf(post(6_000)))
            assertEquals(
                listOf("200", "200"),
                statusesOf("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n"),
            )
        }

        @Test
        fun `a caller that waits before it sends a body is told to go on`() =
            assertEquals(listOf("100", "200", "200"), statusesOf(post(10, "Expect: 100-continue\r\n")))

        @Test
        fun `a body over the limit is refused and the next query answered`() =
            assertEquals(listOf("413", "200"), statusesOf(post(20_000)))

        @Test
        fun `a head over the limit is refused and ends the connection`() =
            assertEquals(listOf("400"), statusesOf("GET / HTTP/1.1\r\nA: ${"a".repeat(5_000)}\r\n\r\n"))

        @Test
        fun `a query that comes in pieces is answered`() = connect().use {
            for (piece in "GET / HTTP/1.1\r\nA: b\r\n\r\n".chunked(5)) {
                it.getOutputStream().write(piece.toByteArray())
                Thread.sleep(20)
            }
            it.soTimeout = 5_000
            assertEquals("200", it.readStatus())
        }

        @Test
        fun `a query that ends its connection does so`() =
            assertEquals(listOf("200"), statusesOf("GET / HTTP/1.1\r\nConnection: close\r\n\r\n"))

        @Test
        fun `a large answer is whole though the caller has closed its side`() = connect().use {
            it.send("/large")
            it.shutdownOutput()
            assertTrue(it.getInputStream().readAllBytes().size > LARGE_ANSWER)
        }

        @Test
        fun `a caller that does not read its answers is not read on`() {
            SocketChannel.open(InetSocketAddress("127.0.0.1", port)).use { channel ->
                channel.configureBlocking(false)
                // Each read ends in the midst of a body.
                val withBody = post(READ_BYTES - post(1_000).length + 1_000)
                val bytes = ("GET /large HTTP/1.1\r\n\r\n" + withBody.repeat(SENT_AHEAD * 4)).toByteArray()
                val text = ByteBuffer.wrap(bytes)
                var turnsWithoutProgress = 0
                while (text.hasRemaining() && turnsWithoutProgress < 100) {
                    turnsWithoutProgress = if (channel.write(text) > 0) 0 else turnsWithoutProgress + 1
                    if (turnsWithoutProgress > 0) Thread.sleep(10)
                }
                assertTrue(text.position() < MOST_BYTES_ACCEPTED, "${text.position()} of ${bytes.size} bytes")
            }
        }
    }

    private companion object {
        /** More than the buffers of a connection hold. */
        const val LARGE_ANSWER = 20_000_000
        const val READ_BYTES = 4_096
        const val MOST_BYTES_ACCEPTED = 30_000_000

        const val SENT_AHEAD = 5_000

        /** As many as a read of some kilobytes can hold. */
        const val MOST_BEFORE = 400
    }
}
