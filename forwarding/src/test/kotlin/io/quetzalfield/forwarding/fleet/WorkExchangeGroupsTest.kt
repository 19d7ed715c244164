package io.quetzalfield.forwarding.fleet

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.quetzalfield.forwarding.choice.EndpointLimits
import io.quetzalfield.forwarding.endpoints.EndpointDirectory
import io.quetzalfield.forwarding.endpoints.EndpointId
import io.quetzalfield.forwarding.endpoints.description
import io.quetzalfield.model.HostPort
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.StoredValue
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import java.net.DatagramSocket
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Load pattern: so many instances decide independently that reports of each to all would cost more than they help. */
class WorkExchangeGroupsTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val eventLoop = group.next()
    private val records = (1..12).map { number ->
        MemberRecord(
            incarnation = Incarnation(InstanceId("front-$number"), "start"),
            address = "127.0.0.1:1",
            failureDomain = listOf("a", "b", "c")[number % 3],
            peerAddress = "127.0.0.1:${DatagramSocket(0).use { it.localPort }}",
        )
    }
    private val instances = records.map(::Instance)

    private inner class Instance(record: MemberRecord) {
        val endpoints = EndpointDirectory().apply { update(description("runner-1")) }
        val endpoint = checkNotNull(endpoints.find(EndpointId("runner-1")))
        private val members = Members(record).apply {
            replace(
                records.mapIndexed { index, listed ->
                    val json = PlatformJson.encodeToString(MemberRecord.serializer(), listed)
                    val joined = StoreRevision(index + 1L)
                    StoredValue(FleetKeys.member(listed.incarnation), json, joined, joined)
                },
            )
        }
        val limits = EndpointLimits { members.sharers }
        val exchange =
            WorkExchange(eventLoop, record.incarnation, endpoints, members, TimeSource.Monotonic, limits).apply {
                start(checkNotNull(HostPort.parse(checkNotNull(record.peerAddress))))
            }

        fun setWork(running: Int, unreadTokens: Long) = onEventLoop {
            endpoint.inFlight = running
            endpoint.unreadTokens = unreadTokens
            exchange.scheduleReport()
        }
    }

    /** The limits that the instances know; `null` for those that know none. */
    private fun knownLimits() = onEventLoop { instances.map { it.endpoint.limit.requestsPerSecond }.distinct() }

    private fun awaitLimit(perSecond: Double?) {
        val start = TimeSource.Monotonic.markNow()
        while (knownLimits() != listOf(perSecond)) {
            if (start.elapsedNow() > 3.seconds) return assertEquals(listOf(perSecond), knownLimits())
            Thread.sleep(5)
        }
    }

    private fun Instance.hearFromEndpoint(perSecond: Double?) = onEventLoop {
        limits.record(endpoint, perSecond, TimeSource.Monotonic.markNow())
        exchange.scheduleReport()
    }

    private fun <T> onEventLoop(action: () -> T): T = eventLoop.submit(action).get()

    private fun knownWork() = onEventLoop {
        val now = TimeSource.Monotonic.markNow()
        instances.map { it.endpoint.runningAt(now) to it.endpoint.unreadTokensAt(now) }.distinct()
    }

    private fun awaitWork(running: Int, unreadTokens: Long) {
        val start = TimeSource.Monotonic.markNow()
        while (knownWork() != listOf(running to unreadTokens)) {
            if (start.elapsedNow() > 3.seconds) return assertEquals(listOf(running to unreadTokens), knownWork())
            Thread.sleep(5)
        }
    }

    @AfterEach
    fun stop() {
        group.shutdownGracefully().await()
    }

    @Test
    fun `the work of any instance is known at all instances, counted once`() {
        instances[11].setWork(running = 3, unreadTokens = 500)
        awaitWork(running = 3, unreadTokens = 500)
        instances[0].setWork(running = 2, unreadTokens = 70)
        awaitWork(running = 5, unreadTokens = 570)
        instances[4].setWork(running = 1, unreadTokens = 0)
        awaitWork(running = 6, unreadTokens = 570)
        instances[11].setWork(running = 0, unreadTokens = 0)
        awaitWork(running = 3, unreadTokens = 70)
    }

    @Test
    fun `a limit that one instance hears of is known at all instances, and so are its change and its end`() {
        instances[11].hearFromEndpoint(1.5)
        awaitLimit(1.5)
        instances[4].hearFromEndpoint(4.0)
        awaitLimit(4.0)
        instances[0].hearFromEndpoint(null)
        awaitLimit(null)
    }
}
