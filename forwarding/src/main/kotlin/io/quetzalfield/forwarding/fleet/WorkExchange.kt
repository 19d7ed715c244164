package io.quetzalfield.forwarding.fleet

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import io.quetzalfield.forwarding.DecisionLog
import io.quetzalfield.forwarding.endpoints.EndpointDirectory
import io.quetzalfield.forwarding.endpoints.EndpointId
import io.quetzalfield.forwarding.repeatEvery
import io.quetzalfield.forwarding.schedule
import io.quetzalfield.model.HostPort
import io.quetzalfield.model.Incarnation
import kotlinx.serialization.SerializationException
import java.net.InetSocketAddress
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Tells the other instances by datagrams what this one has at which endpoint, and takes what they tell, so that
 * instances which decide apart don't choose the same idle endpoint. Nothing depends on a datagram: without them the
 * endpoints' own reports are used. The messages also show which instances live and which are ending, also while the
 * store, which lists them, is away.
 */
internal class WorkExchange(
    private val eventLoop: EventLoop,
    own: Incarnation,
    private val endpoints: EndpointDirectory,
    private val members: Members,
    private val timeSource: TimeSource.WithComparableMarks,
) {
    private val report = WorkReport(own)
    private val newest = HashMap<Incarnation, Long>()
    private var channel: Channel? = null
    private var isFlushDue = false

    /** Starts to listen at [address]. */
    fun start(address: HostPort) {
        val bound = Bootstrap().group(eventLoop).channel(NioDatagramChannel::class.java).handler(Receiver())
            .bind(address.host, address.port).awaitUninterruptibly()
        if (!bound.isSuccess) {
            DecisionLog.write("work_exchange_off", "address" to address, "reason" to bound.cause())
            return
        }
        channel = bound.channel()
        eventLoop.repeatEvery(RefreshPeriod, ::refresh)
    }

    /** Tells the others that this instance is ending, now and with every message that follows. */
    fun announceLeaving() {
        report.isLeaving = true
        refresh()
    }

    /** Something has changed at an endpoint; the others are told soon. Called on the event loop. */
    fun workChanged() {
        if (isFlushDue || channel == null) return
        isFlushDue = true
        eventLoop.schedule(FlushDelay, ::flush)
    }

    private fun flush() {
        isFlushDue = false
        send(report.changes(endpoints.all))
    }

    private fun refresh() {
        send(report.all(endpoints.all))
        newest.keys.retainAll(members.peers.keys)
    }

    private fun send(messages: List<WorkMessage>) {
        val target = channel ?: return
        val peers = members.peers.values
        if (messages.isEmpty() || peers.size > MOST_PEERS) return
        for (message in messages) {
            val bytes = Unpooled.wrappedBuffer(message.encode())
            for (peer in peers) target.write(DatagramPacket(bytes.retainedDuplicate(), peer))
            bytes.release()
        }
        target.flush()
    }

    private fun take(message: WorkMessage) {
        if (message.sender !in members.peers) return
        if ((newest[message.sender] ?: 0) >= message.number) return
        newest[message.sender] = message.number
        val now = timeSource.markNow()
        members.noteHeard(message.sender, message.isLeaving, now)
        for (work in message.work) {
            endpoints.find(EndpointId(work.endpoint))?.peers?.take(message.sender, work.running, work.unreadTokens, now)
        }
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(context: ChannelHandlerContext, packet: DatagramPacket) {
            try {
                take(WorkMessage.decode(ByteBufUtil.getBytes(packet.content())))
            } catch (error: SerializationException) {
                DecisionLog.write("datagram_unreadable", "from" to packet.sender(), "reason" to error.message)
            }
        }

        /** A datagram that could not be sent or received is made good by the next one. */
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) =
            DecisionLog.write("datagram_failed", "reason" to cause)
    }

    private companion object {
        /** Joins the changes of one request's decisions; short against the time in which a prompt is read. */
        val FlushDelay = 5.milliseconds

        /** Makes good for lost datagrams within about one answer of usual length. */
        val RefreshPeriod = 1.seconds

        /** With more instances each would hear from too many; the endpoints' reports have to do then. */
        const val MOST_PEERS = 64
    }
}
