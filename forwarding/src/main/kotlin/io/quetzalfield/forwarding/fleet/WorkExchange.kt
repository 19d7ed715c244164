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
import io.quetzalfield.forwarding.choice.SessionHolds
import io.quetzalfield.forwarding.endpoints.Endpoint
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
 *
 * In a small fleet each instance tells every other at once. In a larger one it tells the leader of its group; the
 * leaders tell one another the sums of their groups, and their groups the sum of all. What an instance sends and
 * takes then grows with its group and with the number of groups, and not with the number of instances.
 *
 * Sessions that are held on a version are told to all at once, and again with each message that shows that this
 * instance lives.
 */
internal class WorkExchange(
    private val eventLoop: EventLoop,
    private val own: Incarnation,
    private val endpoints: EndpointDirectory,
    private val members: Members,
    private val timeSource: TimeSource.WithComparableMarks,
    private val holds: SessionHolds = SessionHolds(),
) {
    private val composer = WorkMessageComposer(own)
    private val ownReport = WorkReport()
    private val groupReport = WorkReport(::groupWork)
    private val fleetReport = WorkReport(::fleetWork)
    private val newest = HashMap<Incarnation, Long>()
    private var channel: Channel? = null
    private var isFlushDue = false

    private val isSmallFleet: Boolean get() = members.count <= SMALL_FLEET

    /** Starts to listen at [address]. */
    fun start(address: HostPort) {
        val bound = Bootstrap().group(eventLoop).channel(NioDatagramChannel::class.java).handler(Receiver())
            .bind(address.host, address.port).awaitUninterruptibly()
        if (!bound.isSuccess) {
            DecisionLog.write("work_exchange_off", "address" to address, "reason" to bound.cause())
            return
        }
        channel = bound.channel()
        holds.onHeld = { send(composer.held(listOf(it)), members.peers.keys) }
        eventLoop.repeatEvery(RefreshPeriod, ::refresh)
        schedulePresence()
    }

    /** Tells the others that this instance is ending, now and with every message that follows. */
    fun announceLeaving() {
        composer.isLeaving = true
        showPresence()
    }

    /** Something has changed at an endpoint; the others are told soon. Called on the event loop. */
    fun workChanged() {
        if (isFlushDue || channel == null) return
        isFlushDue = true
        eventLoop.schedule(if (isSmallFleet) SmallFleetFlushDelay else FlushDelay) {
            isFlushDue = false
            tell(WorkReport::changes)
        }
    }

    private fun refresh() {
        tell(WorkReport::all)
        newest.keys.retainAll(members.peers.keys)
    }

    private fun schedulePresence() {
        eventLoop.schedule(members.presencePeriod) {
            // First, as an error of the message would end the repetition.
            schedulePresence()
            showPresence()
        }
    }

    private fun showPresence() = send(composer.held(holds.local) + composer.presence(), members.peers.keys)

    /** Tells what [select] takes of the reports to those who need it. */
    private fun tell(select: WorkReport.(Collection<Endpoint>) -> List<EndpointWork>) {
        val leader = members.leader
        when {
            isSmallFleet -> send(composer.compose(ownReport.select(endpoints.all), WorkScope.OWN), members.peers.keys)

            leader != own -> send(composer.compose(ownReport.select(endpoints.all), WorkScope.OWN), listOf(leader))

            else -> {
                send(composer.compose(groupReport.select(endpoints.all), WorkScope.GROUP), members.otherLeaders)
                send(composer.compose(fleetReport.select(endpoints.all), WorkScope.FLEET), members.groupMates)
            }
        }
    }

    private fun groupWork(endpoint: Endpoint): EndpointWork {
        val now = timeSource.markNow()
        val mates = members.groupMates
        return EndpointWork(
            endpoint = endpoint.id.value,
            running = endpoint.inFlight + endpoint.peers.runningAt(now, mates),
            unreadTokens = endpoint.unreadTokens + endpoint.peers.unreadTokensAt(now, mates),
        )
    }

    private fun fleetWork(endpoint: Endpoint): EndpointWork {
        val now = timeSource.markNow()
        return EndpointWork(endpoint.id.value, endpoint.runningAt(now), endpoint.unreadTokensAt(now))
    }

    private fun send(messages: List<WorkMessage>, receivers: Collection<Incarnation>) {
        val target = channel ?: return
        val addresses = receivers.mapNotNull(members.peers::get)
        if (messages.isEmpty() || addresses.isEmpty()) return
        for (message in messages) {
            val bytes = Unpooled.wrappedBuffer(message.encode())
            for (address in addresses) target.write(DatagramPacket(bytes.retainedDuplicate(), address))
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
        message.held.forEach(holds::addRemote)
        // A leader has the sum of all from the same messages as the sender.
        if (message.scope == WorkScope.FLEET && members.leader == own) return
        for (work in message.work) {
            val endpoint = endpoints.find(EndpointId(work.endpoint)) ?: continue
            val told = if (message.scope == WorkScope.FLEET) work.without(ownWork(endpoint)) else work
            endpoint.peers.update(message.sender, told.running, told.unreadTokens, now)
        }
        if (message.work.isNotEmpty() && !isSmallFleet && members.leader == own) workChanged()
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
        val SmallFleetFlushDelay = 5.milliseconds

        /** Joins the changes of many requests; short against the time for which a request runs. */
        val FlushDelay = 100.milliseconds

        /** Makes good for lost datagrams within about one answer of usual length. */
        val RefreshPeriod = 1.seconds

        /** Instances up to which each tells every other. */
        const val SMALL_FLEET = 8
    }
}
