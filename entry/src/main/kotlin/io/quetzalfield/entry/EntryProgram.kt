package io.quetzalfield.entry

import io.javalin.Javalin
import io.javalin.util.JavalinException
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.quetzalfield.decision.CascadeSettings
import io.quetzalfield.decision.LearningRouting
import io.quetzalfield.decision.storeWritePeriod
import io.quetzalfield.model.HostPort
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceKind
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.peer.PeerClients
import io.quetzalfield.peer.PeerServer
import io.quetzalfield.store.EtcdGatewayKeyValueStore
import io.quetzalfield.store.HttpInstanceDirectory
import io.quetzalfield.store.HttpRatingService
import io.quetzalfield.store.InstanceDirectory
import io.quetzalfield.store.KeyValueStore
import io.quetzalfield.store.RatingService
import io.quetzalfield.support.every
import io.quetzalfield.support.newScheduler
import io.quetzalfield.support.startHttpServer
import io.quetzalfield.support.writeMetrics
import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.OkHttpClient
import org.apache.logging.log4j.LogManager
import java.util.UUID
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** A running entry, which serves callers and peers until it is closed. */
public class EntryProgram(
    private val settings: EntrySettings,
    store: KeyValueStore = EtcdGatewayKeyValueStore(settings.platformAddress),
    private val directory: InstanceDirectory = HttpInstanceDirectory(settings.platformAddress),
    ratingService: RatingService = HttpRatingService(settings.platformAddress),
) : AutoCloseable {
    private val incarnation = Incarnation(settings.instance, UUID.randomUUID().toString())
    private val client = newClient()
    private val metrics = EntryMetrics()
    private val lists = ListsHolder()
    private val currency = ListsCurrency(settings.listsStaleAfter)
    private val ages = StateAges().also { it.register(metrics.registry, currency) }
    private val sessions = SessionCounts(metrics.registry)
    private val journal = BoundedRequestJournal()
    private val fleet = FleetView(directory, ages)
    private val loads = RunnerLoadTracker(settings.instance, fleet, client, ages)
    private val gate = ShutdownGate()
    private val peers = PeerClients()
    private val scheduler = newScheduler("entry")
    private val billedKeys = BilledKeys()
    private val allowanceShares = GrantedAllowanceShares(entryCount = { fleet.entries.size })
    private val demandReporter = DemandReporter(incarnation, fleet, peers, allowanceShares)
    private val ledger = BillLedger(
        process = incarnation,
        store = store,
        witness = PeerBillWitness(settings.instance, settings.failureDomain, fleet, peers),
        billedKeys = billedKeys,
        observer = metrics::countBill,
        witnessTries = WITNESS_TRIES,
    )
    private val distribution = ListsDistribution(
        incarnation = incarnation,
        ownFailureDomain = settings.failureDomain,
        lists = lists,
        currency = currency,
        fleet = fleet,
        peers = peers,
        store = store,
    )
    private val routing = LearningRouting(CascadeSettings(settings.decisionPreset.weights), Random.Default)
    private val control = EntryControl(
        incarnation = incarnation,
        lists = lists,
        fleet = fleet,
        loads = loads,
        peers = peers,
        metrics = metrics,
        ratingService = ratingService,
        routing = routing,
        allowance = ListedAllowanceShare(lists, allowanceShares),
        onDemand = allowanceShares::noteDemand,
    )
    private val decisionLists = CurrentLists(lists, distribution::isCurrent)
    private val completions = CompletionService(
        routeChooser = routing.chooser,
        admission = control.admission,
        stages = CompletionStages(
            attempts = control.attempts(settings.failureDomain, RunnerClient(client), journal),
            answers = control.answers,
            metrics = metrics,
            journal = journal,
        ),
        rollouts = control.rollouts,
        answers = control.answers,
        ledger = ledger,
        metrics = metrics,
        journal = journal,
    )
    private val services = ServiceCallService(incarnation, ServiceClient(fleet, client), store)
    private val sessionTokens = SignedTokens("session", SessionPin.serializer())
    private val ticketTokens = SignedTokens("ticket", Ticket.serializer())
    private val requests = CallerRequests(
        reader = CompletionReader(sessionTokens),
        completions = KeyedCompletions(completions::complete, metrics, journal),
        services = services,
        ticketTokens = ticketTokens,
        forwarder = Forwarder(incarnation, fleet, peers, scheduler, metrics),
        metrics = metrics,
    )
    private val callerApi = CallerApi(
        lists = decisionLists,
        fleet = fleet,
        completions = completions,
        services = services,
        requests = requests,
        sessionTokens = sessionTokens,
        ticketTokens = ticketTokens,
        addressValidity = settings.addressValidity,
        metrics = metrics,
        gate = gate,
        sessions = sessions,
    )
    private val status = EntryStatus(
        incarnation = incarnation,
        lists = lists,
        journal = journal,
        sections = listOf(
            agesSection(ages, currency),
            requestsSection(gate),
            versionsSection(lists),
            sessionsSection(sessions),
            billsSection(lists, ledger),
        ) + control.sections,
    )
    private val peerServer = startPeerServer()
    private val server: Javalin = startCallerServer()
    private val operatorServer: Javalin = startOperatorServer()

    /** The metrics that the entry exposes. */
    internal val registry: PrometheusRegistry get() = metrics.registry

    private var lastFlush = TimeSource.Monotonic.markNow()

    @Volatile
    private var isLeaving = false

    init {
        registerEntryGauges(registry, gate, lists)
        fleet.refresh()
        announce()
        scheduler.every(settings.listRefresh) {
            fleet.refresh()
            announce()
        }
        scheduler.every(settings.listRefresh, distribution::refresh)
        scheduler.every(settings.loadRefresh, loads::refresh)
        scheduler.every(settings.billFlush, ::flushBills)
        control.start()
        scheduler.every(settings.demandReport, demandReporter::report)
        logger.info("entry {} serves callers at {} and peers at {}", incarnation, callerAddress, peerAddress)
    }

    /** The address that serves callers, as `http://host:port`. */
    public val callerAddress: String
        get() = "http://${HostPort.parse(settings.callerAddress)?.host}:${server.port()}"

    /** The revision of the lists in force. */
    public val listsRevision: ListsRevision get() = lists.revision

    /** The address that serves operators, as `http://host:port`. */
    public val operatorAddress: String
        get() = "http://${HostPort.parse(settings.operatorAddress)?.host}:${operatorServer.port()}"

    private val peerAddress: String
        get() = "${HostPort.parse(settings.peerAddress)?.host}:${peerServer.port}"

    /** Stores the bills if the write period for a fleet of this size, which limits the load on the store, is over. */
    private fun flushBills() {
        if (lastFlush.elapsedNow() < storeWritePeriod(settings.billFlush, writers = fleet.entries.size)) return
        lastFlush = TimeSource.Monotonic.markNow()
        ledger.flush()
    }

    private fun startCallerServer(): Javalin {
        val address = requireNotNull(HostPort.parse(settings.callerAddress)) { "the settings are checked on loading" }
        return startHttpServer(address.host, address.port, STOP_TIMEOUT, settings.largestBodyBytes) {
            callerApi.addRoutes(this)
            get("/metrics") { writeMetrics(it, metrics.registry) }
        }
    }

    private fun startOperatorServer(): Javalin {
        val address = requireNotNull(HostPort.parse(settings.operatorAddress)) { "the settings are checked on loading" }
        return startHttpServer(
            host = address.host,
            port = address.port,
            threads = OPERATOR_THREADS,
            routes = OperatorApi(status, metrics)::addRoutes,
        )
    }

    private fun startPeerServer(): PeerServer {
        val address = requireNotNull(HostPort.parse(settings.peerAddress)) { "the settings are checked on loading" }
        val peerService = EntryPeerService(
            lists = lists,
            witnessedBills = WitnessedBills(billedKeys),
            forwarded = ForwardedRequests(decisionLists, gate, requests),
            control = control,
            onNewLists = distribution::pushToRandomPeers,
        )
        return PeerServer(address.host, address.port, peerService)
    }

    private fun announce() {
        directory.announce(
            ListedInstance(
                id = settings.instance,
                kind = InstanceKind.ENTRY,
                address = callerAddress,
                failureDomain = settings.failureDomain,
                peerAddress = peerAddress,
                isLeaving = isLeaving,
                start = incarnation.start,
                operatorAddress = operatorAddress,
            ),
        )
    }

    /**
     * Shuts down gracefully: announces that the entry is leaving, waits until its address has expired at the callers,
     * refuses new requests, waits for the running ones and stores the bills.
     */
    override fun close() {
        logger.info("entry {} shuts down", incarnation)
        isLeaving = true
        announce()
        gate.pause(settings.addressValidity + settings.listRefresh * LIST_REFRESHES_UNTIL_KNOWN)
        gate.close()
        val isDrained = gate.awaitDrained(settings.shutdownGrace)
        ledger.flushAll()
        scheduler.shutdownNow()
        distribution.close()
        control.close()
        directory.remove(settings.instance)
        stopServer()
        operatorServer.stop()
        peerServer.close()
        peers.close()
        logger.info("entry {} has stopped, {}", incarnation, if (isDrained) "drained" else "with requests running")
    }

    private fun stopServer() {
        try {
            server.stop()
        } catch (error: JavalinException) {
            logger.warn("HTTP server did not stop within {}; answers were still being written", STOP_TIMEOUT, error)
        }
    }

    private companion object {
        const val OPERATOR_THREADS = 32

        /** With one flush per second, about the time after which the platform's list drops an entry that is down. */
        const val WITNESS_TRIES = 5
        val STOP_TIMEOUT = 2.seconds

        /** List refreshes until the other entries know that this one is leaving and stop returning its address. */
        const val LIST_REFRESHES_UNTIL_KNOWN = 2
        const val LARGEST_CONCURRENCY = 4_096
        const val IDLE_CONNECTIONS = 256
        const val KEEP_ALIVE_MINUTES = 5L
        val logger = LogManager.getLogger(EntryProgram::class.java)

        fun newClient(): OkHttpClient {
            val dispatcher = Dispatcher().apply {
                maxRequests = LARGEST_CONCURRENCY
                maxRequestsPerHost = LARGEST_CONCURRENCY
            }
            return OkHttpClient.Builder()
                .dispatcher(dispatcher)
                .connectionPool(ConnectionPool(IDLE_CONNECTIONS, KEEP_ALIVE_MINUTES, TimeUnit.MINUTES))
                .readTimeout(Duration.ZERO.inWholeMilliseconds, TimeUnit.MILLISECONDS)
                .build()
        }
    }
}
