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
import io.quetzalfield.forwarding.choice.EndpointLimits
import io.quetzalfield.forwarding.choice.SessionHolds
import io.quetzalfield.forwarding.crashes.CrashGuard
import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.endpoints.EndpointDirectory
import io.quetzalfield.forwarding.endpoints.EndpointId
import io.quetzalfield.forwarding.endpoints.LimitChange
import io.quetzalfield.forwarding.endpoints.TrustChange
import io.quetzalfield.forwarding.repeatEvery
import io.quetzalfield.forwarding.schedule
import io.quetzalfield.model.HostPort
import io.quetzalfield.model.Incarnation
import kotlinx.serialization.SerializationException
import java.net.InetSocketAddress
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Exchanges by datagrams which work the instances have at which endpoint, so that instances which decide independently
 * do not choose the same idle endpoint. Nothing depends on a datagram: without them the endpoints' own load reports are
 * used. The messages also show which instances are alive and which are leaving, even while the store, which lists them,
 * is unavailable.
 *
 * In a small fleet each instance reports directly to every other. In a larger one it reports to the leader of its
 * group; the leaders send the sums of their groups to one another, and the sum of all to their groups. The traffic of
 * an instance then grows with its group and with the number of groups, and not with the number of instances.
 *
 * The limits that endpoints have named, and what was learnt of their speeds, take the same ways as the reports of work.
 *
 * Sessions that are held on a version are reported to all instances immediately, and again with each presence message.
 * The same holds for what an instance has found about requests that make endpoints end.
 */
internal class WorkExchange(
    private val eventLoop: EventLoop,
    private val own: Incarnation,
    private val endpoints: EndpointDirectory,
    private val members: Members,
    private val timeSource: TimeSource.WithComparableMarks,
    private val limits: EndpointLimits,
    private val holds: SessionHolds = SessionHolds(),
    private val crashes: CrashGuard? = null,
) {
    private val composer = WorkMessageComposer(own)
    private val ownReport = WorkReport()
    private val groupReport = WorkReport(::groupWork)
    private val fleetReport = WorkReport(::fleetWork)
    private val limitReports = LimitReports()
    private val leavingReports = LeavingReports(endpoints)
    private val speedReports = SpeedReports(endpoints)
    private val trustReports = TrustReports(endpoints)
    private var isTrustReportDue = false
    private val lastNumbers = HashMap<Incarnation, Long>()
    private var channel: Channel? = null
    private var isFlushDue = false
    private var isCrashReportDue = false

    private val isSmallFleet: Boolean get() = members.count <= LARGEST_SMALL_FLEET

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
        crashes?.onNews = ::scheduleCrashReport
        endpoints.onTrustChanged = ::reportTrust
        eventLoop.repeatEvery(RefreshPeriod, ::refresh)
        eventLoop.repeatEvery(SpeedPeriod, ::sendSpeeds)
        schedulePresence()
    }

    /** Announces that this instance is leaving, now and in every message that follows. */
    fun announceLeaving() {
        composer.isLeaving = true
        sendPresence()
    }

    /** Schedules a report of changed work to the others. Called on the event loop. */
    fun scheduleReport() {
        if (isFlushDue || channel == null) return
        isFlushDue = true
        eventLoop.schedule(if (isSmallFleet) SmallFleetFlushDelay else FlushDelay) {
            isFlushDue = false
            sendReport(WorkReport::changes)
            sendLimits(limitReports.changes(endpoints.all, timeSource.markNow()))
        }
    }

    /** Tells the others that [endpoint] has stated that it will end. Called on the event loop. */
    fun reportLeaving(endpoint: Endpoint) =
        send(composer.leaving(listOf(leavingReports.add(endpoint))), members.peers.keys)

    private fun scheduleCrashReport() {
        if (isCrashReportDue) return
        isCrashReportDue = true
        eventLoop.schedule(CrashReportDelay) {
            isCrashReportDue = false
            crashes?.let { send(composer.crashes(it.takeNews()), members.peers.keys) }
        }
    }

    private fun reportTrust(endpoint: Endpoint, change: TrustChange) {
        trustReports.add(endpoint, change, timeSource.markNow())
        if (isTrustReportDue) return
        isTrustReportDue = true
        eventLoop.schedule(TrustReportDelay) {
            isTrustReportDue = false
            send(composer.trust(trustReports.take(timeSource.markNow())), members.peers.keys)
        }
    }

    private fun refresh() {
        sendReport(WorkReport::all)
        sendLimits(limitReports.all(endpoints.all, timeSource.markNow()))
        lastNumbers.keys.retainAll(members.peers.keys)
    }

    private fun schedulePresence() {
        eventLoop.schedule(members.presencePeriod) {
            // Scheduled first, as an error in sending the message would end the repetition.
            schedulePresence()
            sendPresence()
        }
    }

    private fun sendPresence() {
        val news = crashes?.recentNews()?.let(composer::crashes).orEmpty()
        val leaving = composer.leaving(leavingReports.current)
        send(composer.held(holds.local) + news + leaving + composer.presence(), members.peers.keys)
    }

    /** Sends the part of the reports that [select] returns to the instances that need it. */
    private fun sendReport(select: WorkReport.(Collection<Endpoint>) -> List<EndpointWork>) {
        val leader = members.leader
        when {
            isSmallFleet -> send(composer.compose(ownReport.select(endpoints.all), WorkScope.OWN), members.peers.keys)

            leader != own -> send(composer.compose(ownReport.select(endpoints.all), WorkScope.OWN), listOf(leader))

            else -> {
                send(composer.compose(groupReport.select(endpoints.all), WorkScope.GROUP), members.otherLeaders)
                send(composer.compose(fleetReport.select(endpoints.all), WorkScope.FLEET), members.groupPeers)
            }
        }
    }

    private fun sendLimits(reports: List<LimitReport>) {
        val leader = members.leader
        val receivers = when {
            isSmallFleet -> members.peers.keys
            leader != own -> listOf(leader)
            else -> members.otherLeaders + members.groupPeers
        }
        send(composer.limits(reports), receivers)
    }

    /** Sends what is known of the speeds of endpoints the same way as the reports of work. */
    private fun sendSpeeds() {
        val now = timeSource.markNow()
        val leader = members.leader
        val ownSpeeds = { speedReports.of { it.speed.learnt(now) } }
        when {
            isSmallFleet -> send(composer.speeds(ownSpeeds()), members.peers.keys)

            leader != own -> send(composer.speeds(ownSpeeds()), listOf(leader))

            else -> {
                val group = members.groupPeers
                send(composer.speeds(speedReports.of { it.speed.learnt(now, group::contains) }), members.otherLeaders)
                send(composer.speeds(speedReports.of { endpoint -> endpoint.speed.learnt(now) { true } }), group)
            }
        }
    }

    private fun groupWork(endpoint: Endpoint): EndpointWork {
        val now = timeSource.markNow()
        val peers = members.groupPeers
        return EndpointWork(
            endpoint = endpoint.id.value,
            running = endpoint.inFlight + endpoint.peers.runningAt(now, peers),
            unreadTokens = endpoint.unreadTokens + endpoint.peers.unreadTokensAt(now, peers),
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

    private fun receive(message: WorkMessage) {
        if (message.sender !in members.peers) return
        if ((lastNumbers[message.sender] ?: 0) >= message.number) return
        lastNumbers[message.sender] = message.number
        val now = timeSource.markNow()
        members.recordPresence(message.sender, message.isLeaving, now)
        message.held.forEach(holds::addRemote)
        message.crashes?.let { crashes?.learn(it, message.sender) }
        message.leaving.forEach { takeLeaving(message.sender, it) }
        message.speeds.forEach { speedReports.take(message.sender, it, now) }
        message.trust.forEach { trustReports.learn(it, now) }
        takeWork(message, now)
        val hasNewLimit = message.limits.count { takeLimit(message.sender, it, now) } > 0
        val hasNewWork = message.work.isNotEmpty() && message.scope != WorkScope.FLEET
        val isForwarding = !isSmallFleet && members.leader == own
        if (isForwarding && (hasNewLimit || hasNewWork)) scheduleReport()
    }

    private fun takeLeaving(sender: Incarnation, report: LeavingReport) {
        val endpoint = leavingReports.find(report) ?: return
        if (!endpoints.markLeaving(endpoint)) return
        DecisionLog.write("endpoint_leaving", "endpoint" to endpoint, "start" to report.start, "told_by" to sender)
    }

    private fun takeWork(message: WorkMessage, now: ComparableTimeMark) {
        // A leader computes the sum of all from the same messages as the sender.
        if (message.scope == WorkScope.FLEET && members.leader == own) return
        for (work in message.work) {
            val endpoint = endpoints.find(EndpointId(work.endpoint)) ?: continue
            val othersWork = if (message.scope == WorkScope.FLEET) work.without(ownWork(endpoint)) else work
            endpoint.peers.update(message.sender, othersWork.running, othersWork.unreadTokens, now)
        }
    }

    /** Takes the limit that [sender] reports and returns whether this changes what is known. */
    private fun takeLimit(sender: Incarnation, report: LimitReport, now: ComparableTimeMark): Boolean {
        val endpoint = endpoints.find(EndpointId(report.endpoint))?.takeIf { it.description.start == report.start }
            ?: return false
        val perSecond = report.requestsPerSecond
        if (perSecond != null && (!perSecond.isFinite() || perSecond < 0)) return false
        val statedAt = now - report.ageMilliseconds.coerceAtLeast(0).milliseconds
        val change = limits.record(endpoint, perSecond, statedAt)
        if (change == LimitChange.NONE) return false
        DecisionLog.write(
            "endpoint_limit",
            "endpoint" to endpoint,
            "change" to change,
            "per_second" to perSecond,
            "told_by" to sender,
            "age" to report.ageMilliseconds.milliseconds,
        )
        return true
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(context: ChannelHandlerContext, packet: DatagramPacket) {
            try {
                receive(WorkMessage.decode(ByteBufUtil.getBytes(packet.content())))
            } catch (error: SerializationException) {
                DecisionLog.write("datagram_unreadable", "from" to packet.sender(), "reason" to error.message)
            }
        }

        /** Only logs the failure, as the next datagram makes up for one that could not be sent or received. */
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) =
            DecisionLog.write("datagram_failed", "reason" to cause)
    }

    private companion object {
        /** Combines the changes by the decisions on one request; short compared with the time to read a prompt. */
        val SmallFleetFlushDelay = 5.milliseconds

        /** Combines what the requests show that an endpoint took with it; short compared with its restart. */
        val CrashReportDelay = 5.milliseconds

        /** Combines the failures of many endpoints; short compared with the pause after a failure. */
        val TrustReportDelay = 10.milliseconds

        /** Combines the changes of many requests; short compared with the time for which a request runs. */
        val FlushDelay = 100.milliseconds

        /** Makes up for lost datagrams within about one answer of the usual length. */
        val RefreshPeriod = 1.seconds

        /** Short beside the time for which what was learnt of a speed is of use. */
        val SpeedPeriod = 1.seconds

        /** Largest number of instances with which each reports directly to every other. */
        const val LARGEST_SMALL_FLEET = 8
    }
}
