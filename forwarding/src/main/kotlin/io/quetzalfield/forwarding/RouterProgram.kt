package io.quetzalfield.forwarding

import io.netty.channel.Channel
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.util.concurrent.DefaultThreadFactory
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.quetzalfield.decision.rendezvousOrder
import io.quetzalfield.forwarding.choice.ActiveSessions
import io.quetzalfield.forwarding.choice.AnswerTimeEstimates
import io.quetzalfield.forwarding.choice.ConfidenceCascade
import io.quetzalfield.forwarding.choice.EndpointLimits
import io.quetzalfield.forwarding.choice.ExpectedStartPlacement
import io.quetzalfield.forwarding.choice.HeldSessions
import io.quetzalfield.forwarding.choice.RetryAllowance
import io.quetzalfield.forwarding.choice.RolloutStep
import io.quetzalfield.forwarding.choice.ScarceCapacity
import io.quetzalfield.forwarding.choice.SessionHolds
import io.quetzalfield.forwarding.choice.VersionSplit
import io.quetzalfield.forwarding.configuration.ConfigurationHolder
import io.quetzalfield.forwarding.crashes.BlameReport
import io.quetzalfield.forwarding.crashes.CrashGuard
import io.quetzalfield.forwarding.crashes.CrashSuspect
import io.quetzalfield.forwarding.endpoints.EndpointDirectory
import io.quetzalfield.forwarding.endpoints.TrialTurn
import io.quetzalfield.forwarding.fleet.BlameRecords
import io.quetzalfield.forwarding.fleet.FleetFollower
import io.quetzalfield.forwarding.fleet.FleetKeys
import io.quetzalfield.forwarding.fleet.HoldRecords
import io.quetzalfield.forwarding.fleet.LeasedRecords
import io.quetzalfield.forwarding.fleet.MemberRecord
import io.quetzalfield.forwarding.fleet.Members
import io.quetzalfield.forwarding.fleet.Membership
import io.quetzalfield.forwarding.fleet.ObservationPace
import io.quetzalfield.forwarding.fleet.ObservationRecord
import io.quetzalfield.forwarding.fleet.RolloutDuty
import io.quetzalfield.forwarding.fleet.RolloutOrder
import io.quetzalfield.forwarding.fleet.WorkExchange
import io.quetzalfield.forwarding.http.CallerConnections
import io.quetzalfield.forwarding.http.EndpointConnections
import io.quetzalfield.forwarding.http.HttpListeners
import io.quetzalfield.forwarding.http.PlainAnswer
import io.quetzalfield.forwarding.http.RoutingContext
import io.quetzalfield.forwarding.relay.RelayedStore
import io.quetzalfield.model.HostPort
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.ServiceId
import io.quetzalfield.store.DutyLease
import io.quetzalfield.store.FollowSettings
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.StoreRevision
import java.io.ByteArrayOutputStream
import java.util.UUID
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** One instance of the router. */
public class RouterProgram(
    private val settings: RouterSettings,
    private val platform: RouterPlatform,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) : AutoCloseable {
    private val incarnation = Incarnation(InstanceId(settings.instance), UUID.randomUUID().toString())
    private val group = MultiThreadIoEventLoopGroup(1, DefaultThreadFactory("router"), NioIoHandler.newFactory())
    private val eventLoop: EventLoop = group.next()
    private val record = MemberRecord(
        incarnation = incarnation,
        address = settings.callerAddress.toString(),
        failureDomain = settings.failureDomain,
        peerAddress = settings.peerAddress?.toString(),
    )
    private val members = Members(record, timeSource, settings.retryBounds.window + UnlistedWork)
    private val metrics = RouterMetrics()
    private val sessions = ActiveSessions(timeSource)
    private val sessionHolds = SessionHolds()
    private val limits = EndpointLimits(timeSource, coldRate = ::coldRate) { members.sharers }
    private val connections = EndpointConnections(
        eventLoop,
        timeSource,
        onOpened = metrics::countConnection,
        onUnexpectedBytes = metrics::countUnexpectedBytes,
    )
    private val directory =
        EndpointDirectory(timeSource, trialTurn = { TrialTurn(rankOf(it.value), members.sharers.all.size) })
    private val crashes =
        CrashGuard(eventLoop, connections, metrics, timeSource, { directory.findStart(it) }, ::trialRank)
    private val answerTimes = AnswerTimeEstimates()
    private val scarceCapacity = if (settings.isCapacityScarce) ScarceCapacity(timeSource) else null
    private val context = RoutingContext(
        eventLoop = eventLoop,
        configuration = ConfigurationHolder(timeSource),
        endpoints = directory,
        headerCodec = platform.headers,
        metrics = metrics,
        retryAllowance = RetryAllowance(settings.retryBounds, timeSource) { members.partCount },
        connections = connections,
        sessions = sessions,
        versions = VersionSplit(timeSource, sessions = sessions, holds = sessionHolds),
        placement = ExpectedStartPlacement(
            answerTimes,
            readWeight = if (scarceCapacity == null) 1 else ScarceCapacity.READ_WEIGHT,
        ),
        answerTimes = answerTimes,
        cascade = scarceCapacity?.cascade ?: ConfidenceCascade(),
        scarceCapacity = scarceCapacity,
        crashes = crashes,
        timeSource = timeSource,
        confirmationBound = settings.revocationBound?.let { it - RevocationMargin },
        memberCount = { members.partCount },
        limits = limits,
        intakeLimits = settings.intakeLimits,
    )
    private val holdRecords = HoldRecords(platform.store)
    private val workExchange =
        WorkExchange(eventLoop, incarnation, context.endpoints, members, timeSource, limits, sessionHolds, crashes)
    private val relayGroup =
        MultiThreadIoEventLoopGroup(1, DefaultThreadFactory("relay", true), NioIoHandler.newFactory())
    private val followedStore = RelayedStore(platform.store, record, relayGroup.next(), timeSource)
    private val callers = CallerConnections()
    private val membership = Membership(platform.store, record, timeSource) { members.count }
    private val duty = DutyLease(platform.store, ROLLOUT_DUTY, incarnation, DutyTimeToLive, DutyMargin, timeSource)
    private val rollouts = RolloutDuty(
        store = platform.store,
        lease = duty,
        reports = platform.rolloutReports,
        timeSource = timeSource,
        requestsPerSecond = { service ->
            eventLoop.submit<Double> { context.retryAllowance.requestsPerSecond(service) }.get()
        },
        knownStep = { service -> eventLoop.submit<RolloutStep?> { context.versions.stepOf(service) }.get() },
        storeHolds = { storeHolds { sessionHolds.knownNotStored } },
        memberCount = { members.count },
    )
    private val scheduler = Executors.newScheduledThreadPool(SCHEDULER_THREADS, DefaultThreadFactory("duties", true))
    private val hasStopBegun = AtomicBoolean()
    private val stopped = CountDownLatch(1)

    @Volatile
    private var orders: List<RolloutOrder> = emptyList()
    private val observations = LeasedRecords(platform.store) { membership.lease }
    private val observationPace = ObservationPace(timeSource)
    private val blameRecords =
        BlameRecords(platform.store) { eventLoop.submit<List<BlameReport>>(crashes::ownDecisions).get() }

    /** Whether a step has been applied that the next record of observations confirms. */
    private val isStepUnconfirmed = AtomicBoolean()
    private val duties = PacedTask(DutyPeriod, timeSource, { rollouts.isAwaitingConfirmation }, ::runDuties)
    private val observationTask = PacedTask(
        ObservationPeriod,
        timeSource,
        isUrgent = { members.count <= LARGEST_PROMPT_FLEET && isStepUnconfirmed.getAndSet(false) },
        ::publishObservations,
    )

    /** Revisions of the orders whose end has been reported. */
    private val closedOrders: MutableSet<StoreRevision> = ConcurrentHashMap.newKeySet()

    /** Opens the listening sockets and starts to follow the platform. */
    public fun start() {
        context.isFleetKnown = false
        context.areEvacuationsKnown = false
        context.areEndpointsKnown = false
        DecisionLog.write("start", "incarnation" to incarnation, "address" to settings.callerAddress)
        DecisionLog.write("intake_limits", "limits" to settings.intakeLimits)
        val listeners = HttpListeners(group, settings.intakeLimits.queryConnections)
        listeners.listenForQueries(settings.readinessAddress, ::answerReadiness)
        settings.directoryAddress?.let { listeners.listenForQueries(it, ::answerDirectory) }
        metrics.exportStoreEra(platform.store::era)
        listeners.listenForQueries(HostPort(settings.callerAddress.host, settings.metricsPort), ::answerMetrics)
        callerListener = listeners.listenForCallers(settings.callerAddress, context, callers)
        settings.peerAddress?.let(workExchange::start)
        context.retryAllowance.beginWithoutHistory()
        members.onListed = context.retryAllowance::beginWithoutHistory
        context.onWorkChanged = workExchange::scheduleReport
        context.onLeaving = workExchange::reportLeaving
        platform.start(PlatformFeed(context, ::updateOrders), followedStore)
        followedStore.follow(
            FleetKeys.FLEET_PREFIX,
            FleetFollower(
                context,
                members,
                sessionHolds,
                onStep = { isStepUnconfirmed.set(true) },
                onReported = closedOrders::add,
            ),
            FleetFollowSettings,
        )
        followedStore.start()
        scheduleEvery(MembershipPeriod, membership::renew)
        scheduleEvery(UrgentPeriod, duties::poll)
        scheduleEvery(UrgentPeriod, observationTask::poll)
        scheduleEvery(BlamePeriod, blameRecords::publish)
        scheduleEvery(HoldPeriod) { storeHolds(::settledHolds) }
        scheduleEvery(BlameRecords.TimeToLive / BLAME_RENEWALS, blameRecords::renew)
    }

    /**
     * Leaves the directory, takes requests for as long as callers may use the address, and returns when all of them
     * have their answers, or when the shutdown grace is nearly over. Nothing is accepted any more when it returns.
     */
    override fun close() {
        if (!hasStopBegun.compareAndSet(false, true)) return stopped.await()
        val schedule = ShutdownSchedule(settings.shutdownGrace, settings.addressValidity)
        DecisionLog.write("stop", "incarnation" to incarnation, "grace" to settings.shutdownGrace)
        eventLoop.execute {
            isStopping = true
            members.isLeaving = true
            workExchange.announceLeaving()
        }
        followedStore.leave()
        scheduler.execute(
            loggingErrors {
                membership.leave()
                duty.release()
                storeHolds { sessionHolds.localNotStored }
            },
        )
        eventLoop.schedule(schedule.closeIdleAfter) {
            context.isShuttingDown = true
            callers.closeWhenIdle()
        }
        eventLoop.schedule(schedule.refuseAfter, ::stopAccepting)
        eventLoop.schedule(schedule.giveUpAfter, callers::giveUp)
        eventLoop.schedule(schedule.endAfter, stopped::countDown)
        stopped.await()
        DecisionLog.write("stopped", "open" to context.openExchanges)
        scheduler.shutdownNow()
        platform.close()
    }

    /** Closes the listener; only the connections that are open then keep the process from ending. */
    private fun stopAccepting() {
        context.isRefusing = true
        callerListener?.close()
        callers.closeWhenIdle()
        DecisionLog.write("stop_accepting", "open" to context.openExchanges)
        eventLoop.repeatEvery(PollPeriod) {
            if (context.openExchanges == 0 && callers.isEmpty) stopped.countDown()
        }
    }

    private var isStopping = false
    private var callerListener: Channel? = null

    private val isReady: Boolean
        get() = !isStopping && context.isStateKnown && context.isConfigurationCurrent

    private fun coldRate(service: ServiceId): Double? = context.coldRate(service)

    private fun answerReadiness(uri: String): PlainAnswer? = when {
        !platform.directory.isReadinessRequest(uri) -> null
        isReady -> PlainAnswer(STATUS_OK)
        else -> PlainAnswer(STATUS_UNAVAILABLE)
    }

    private fun answerDirectory(uri: String): PlainAnswer? {
        if (!platform.directory.isAddressRequest(uri)) return null
        val addresses = members.addresses(includesOwn = isReady)
        if (addresses.isEmpty()) return PlainAnswer(STATUS_UNAVAILABLE)
        return PlainAnswer(STATUS_OK, JSON, platform.directory.encodeAddresses(addresses, settings.addressValidity))
    }

    private fun answerMetrics(uri: String): PlainAnswer? {
        if (uri != METRICS_PATH) return null
        val buffer = ByteArrayOutputStream()
        val format = PrometheusTextFormatWriter.builder().build()
        format.write(buffer, metrics.registry.scrape())
        return PlainAnswer(STATUS_OK, format.contentType, buffer.toByteArray())
    }

    /** Place of this instance among those that may try whether endpoints still end by [suspect]. */
    private fun trialRank(suspect: CrashSuspect): Int = rankOf(suspect.value)

    /** Place of this instance in the order of those that share [key]. */
    private fun rankOf(key: String): Int {
        val sharers = members.sharers
        val rank = rendezvousOrder(key, sharers.all, InstanceId::value).indexOf(sharers.own)
        return if (rank < 0) sharers.all.size else rank
    }

    /** Stores the sessions that [select] returns on the event loop. */
    private fun storeHolds(select: () -> List<HeldSessions>) =
        holdRecords.add(eventLoop.submit<List<HeldSessions>>(select).get())

    /** The own sessions that others do not know from the store although the first share applies. */
    private fun settledHolds(): List<HeldSessions> =
        sessionHolds.localNotStored.filter { context.versions.isComparing(it.service) }

    private fun updateOrders(current: List<RolloutOrder>) {
        rollouts.setOrders(current)
        orders = current
    }

    private fun runDuties() {
        val open = orders.filter(::isOpen)
        if (open.isEmpty()) return
        // Instances that get the store's keys from a relay leave the duty to those that read the store.
        if (followedStore.isReader || duty.held != null) duty.renew()
        rollouts.work(open)
    }

    /** Whether the roll-out still needs steps or a report of its end. */
    private fun isOpen(order: RolloutOrder): Boolean = order.revision !in closedOrders

    /** Stores this instance's observations of versions while a roll-out is open. */
    private fun publishObservations() {
        observationPace.retain(orders)
        for (order in orders.filter(::isOpen)) {
            val seen = eventLoop.submit<ObservationRecord> {
                context.observer.recordOf(order.service, order.target, context.versions.stepOf(order.service))
            }.get()
            val key = FleetKeys.observations(order.service, incarnation)
            if (observations.isUnderCurrentLease(key) && !observationPace.isDue(order, seen, members.count)) continue
            val isStored = observations.publish(key, seen) {
                PlatformJson.encodeToString(ObservationRecord.serializer(), seen)
            }
            if (isStored) observationPace.recordStored(order, seen)
        }
    }

    private fun scheduleEvery(period: Duration, task: () -> Unit) {
        scheduler.scheduleWithFixedDelay(loggingErrors(task), 0, period.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    public companion object {
        /** Path at which metrics are served. */
        public const val METRICS_PATH: String = "/metrics"

        private const val STATUS_OK = 200
        private const val STATUS_UNAVAILABLE = 503
        private const val JSON = "application/json"
        private const val ROLLOUT_DUTY = "version-rollouts"
        private const val SCHEDULER_THREADS = 3

        /** Covers the time from the check of the confirmation to the arrival of the request at an endpoint. */
        private val RevocationMargin = 500.milliseconds

        /** Time for which an instance may go on with requests after its lease has lapsed. */
        private val UnlistedWork = 5.seconds

        /** The time after which the lease of the membership is extended in a small fleet. */
        private val MembershipPeriod = 1.seconds

        /** A fraction of the shortest time within which a bad version must be rolled back. */
        private val DutyPeriod = 800.milliseconds
        private val ObservationPeriod = 1_000.milliseconds

        /** A step that waits for observations is delayed by two of them, rather than by the periods above. */
        private val UrgentPeriod = 200.milliseconds

        /** Up to so many instances, records that all write within [UrgentPeriod] stay well below the store's limit. */
        private const val LARGEST_PROMPT_FLEET = 40

        /** Reaches instances that hear no others well within the time in which all must know. */
        private val BlamePeriod = 300.milliseconds
        private const val BLAME_RENEWALS = 4

        /** Sessions that the holder of the duty has not heard of are stored within a fraction of the first half. */
        private val HoldPeriod = 1.seconds

        /** Members change rarely, and a step of a roll-out is received at once. */
        private val FleetFollowSettings =
            FollowSettings(
                wait = 4.seconds,
                relistInterval = 10.seconds,
                longestBatchPause = 320.milliseconds,
                // A member joins again when it would have extended its lease, after 8 s at most.
                restorationAllowance = 10.seconds,
            )

        /** Time after which another instance takes over the duty of one that has died. */
        private val DutyTimeToLive = 3.seconds
        private val DutyMargin = 500.milliseconds

        private val PollPeriod = 50.milliseconds
    }
}
