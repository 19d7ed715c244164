package io.quetzalfield.forwarding.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.quetzalfield.model.HostPort
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
import java.net.Socket
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
            PlainAnswer(200)
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

    private companion object {
        const val SENT_AHEAD = 5_000

        /** As many as a read of some kilobytes can hold. */
        const val MOST_BEFORE = 400
    }
}
