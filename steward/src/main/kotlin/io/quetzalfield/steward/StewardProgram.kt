package io.quetzalfield.steward

import io.javalin.Javalin
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.quetzalfield.decision.HomeScope
import io.quetzalfield.decision.homeOrder
import io.quetzalfield.model.HostPort
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceKind
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.peer.PeerClients
import io.quetzalfield.peer.PeerServer
import io.quetzalfield.steward.allowances.AllowanceDuty
import io.quetzalfield.steward.bills.BillDuty
import io.quetzalfield.steward.bills.BillFolding
import io.quetzalfield.steward.bills.EndedIncarnations
import io.quetzalfield.steward.bills.FoldedCells
import io.quetzalfield.steward.bills.PeerBillWitnesses
import io.quetzalfield.steward.orders.HttpRunnerControl
import io.quetzalfield.steward.orders.OrderDuty
import io.quetzalfield.steward.rollouts.PeerRolloutEntries
import io.quetzalfield.steward.rollouts.RolloutDuty
import io.quetzalfield.store.DutyLease
import io.quetzalfield.store.DutyRoster
import io.quetzalfield.store.EtcdGatewayKeyValueStore
import io.quetzalfield.store.HttpInstanceDirectory
import io.quetzalfield.store.InstanceDirectory
import io.quetzalfield.store.KeyValueStore
import io.quetzalfield.support.every
import io.quetzalfield.support.newScheduler
import io.quetzalfield.support.startHttpServer
import io.quetzalfield.support.status.DaemonStatus
import io.quetzalfield.support.status.StatusSection
import io.quetzalfield.support.status.addStatusRoutes
import io.quetzalfield.support.status.readAll
import io.quetzalfield.support.writeMetrics
import org.apache.logging.log4j.LogManager
import java.util.UUID

/** A running steward, which holds duties under leases until it is closed. */
public class StewardProgram(
    private val settings: StewardSettings,
    private val store: KeyValueStore = EtcdGatewayKeyValueStore(settings.platformAddress),
    private val directory: InstanceDirectory = HttpInstanceDirectory(settings.platformAddress),
) : AutoCloseable {
    private val incarnation = Incarnation(settings.instance, UUID.randomUUID().toString())
    private val peers = PeerClients()

    /** The metrics that the steward exposes. */
    internal val registry: PrometheusRegistry = PrometheusRegistry()

    @Volatile
    private var stewards: List<ListedInstance> = emptyList()
    private val leases = listOf(BILL_DUTY, ROLLOUT_DUTY, ALLOWANCE_DUTY, ORDER_DUTY).associateWith(::newLease)
    private val roster = DutyRoster(leases, rank = ::rankFor, takeoverDelay = settings.leaseTimeToLive)
    private val billDuty = newBillDuty()
    private val rollouts = RolloutDuty(store, PeerRolloutEntries(directory, peers), leases.getValue(ROLLOUT_DUTY))
    private val allowanceDuty = AllowanceDuty({ roster.held(ALLOWANCE_DUTY) })
    private val orderDuty = OrderDuty(
        held = { roster.held(ORDER_DUTY) },
        lists = StoredLists(store)::read,
        directory = directory,
        runners = HttpRunnerControl(),
        settlingTime = settings.leaseTimeToLive + settings.longestOrderDelay,
        registry = registry,
    )
    private val sections: List<StatusSection> = listOf(dutiesSection(leases.values))
    private val peerServer = startPeerServer()
    private val server: Javalin = startOperatorServer()
    private val scheduler = newScheduler("steward")

    init {
        registerDuties(leases.values, registry)
        scheduler.every(settings.dutyPeriod) {
            announce()
            stewards = directory.instances().getOrNull().orEmpty().filter { it.kind == InstanceKind.STEWARD }
        }
        scheduler.every(settings.dutyPeriod, roster::renew)
        scheduler.every(settings.billPeriod) { whileHeld(BILL_DUTY, billDuty::run) }
        scheduler.every(settings.dutyPeriod, rollouts::run)
        scheduler.every(settings.orderPeriod, orderDuty::run)
        logger.info("steward {} has started", incarnation)
    }

    private fun newLease(duty: String): DutyLease = DutyLease(
        store = store,
        name = duty,
        holder = incarnation,
        timeToLive = settings.leaseTimeToLive,
        margin = settings.leaseMargin,
    )

    /** The number of stewards preferred over this one for [duty]; it differs by duty, so that duties are spread. */
    private fun rankFor(duty: String): Int =
        homeOrder(HomeScope(duty), stewards).indexOfFirst { it.id == settings.instance }.coerceAtLeast(0)

    private fun newBillDuty(): BillDuty {
        val witnesses = PeerBillWitnesses(directory, peers)
        return BillDuty(
            ended = EndedIncarnations(store, directory, witnesses, settings.goneAfter),
            folding = BillFolding(store, witnesses),
            foldedCells = FoldedCells(store),
            registry = registry,
        )
    }

    private fun whileHeld(duty: String, action: (isHeld: () -> Boolean) -> Unit) {
        val isHeld = { roster.held(duty) != null }
        if (isHeld()) action(isHeld)
    }

    private fun startOperatorServer(): Javalin {
        val address =
            requireNotNull(HostPort.parse(settings.operatorAddress)) { "loading the settings validates addresses" }
        return startHttpServer(address.host, address.port) {
            addStatusRoutes { DaemonStatus(InstanceKind.STEWARD, incarnation, sections = sections.readAll()) }
            get("/metrics") { writeMetrics(it, registry) }
            get("/health/live") { it.result("live") }
        }
    }

    private fun startPeerServer(): PeerServer {
        val address =
            requireNotNull(HostPort.parse(settings.peerAddress)) { "loading the settings validates addresses" }
        return PeerServer(address.host, address.port, StewardPeerService(allowanceDuty))
    }

    private fun announce() {
        val operatorAddress = "http://${HostPort.parse(settings.operatorAddress)?.host}:${server.port()}"
        directory.announce(
            ListedInstance(
                id = settings.instance,
                kind = InstanceKind.STEWARD,
                address = operatorAddress,
                failureDomain = settings.failureDomain,
                peerAddress = "${HostPort.parse(settings.peerAddress)?.host}:${peerServer.port}",
                start = incarnation.start,
                operatorAddress = operatorAddress,
            ),
        )
    }

    override fun close() {
        scheduler.shutdownNow()
        roster.release()
        peerServer.close()
        peers.close()
        directory.remove(settings.instance)
        server.stop()
        logger.info("steward {} has stopped", incarnation)
    }

    private companion object {
        const val BILL_DUTY = "bills"
        const val ROLLOUT_DUTY = "rollouts"
        const val ALLOWANCE_DUTY = "allowances"
        const val ORDER_DUTY = "orders"
        val logger = LogManager.getLogger(StewardProgram::class.java)
    }
}
