package io.quetzalfield.steward

import io.javalin.Javalin
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceKind
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.peer.PeerClients
import io.quetzalfield.platform.DutyLease
import io.quetzalfield.platform.EtcdGatewayKeyValueStore
import io.quetzalfield.platform.HttpInstanceDirectory
import io.quetzalfield.platform.InstanceDirectory
import io.quetzalfield.platform.KeyValueStore
import io.quetzalfield.steward.rollouts.PeerRolloutEntries
import io.quetzalfield.steward.rollouts.RolloutDuty
import io.quetzalfield.support.HostPort
import io.quetzalfield.support.every
import io.quetzalfield.support.newScheduler
import io.quetzalfield.support.startHttpServer
import io.quetzalfield.support.writeMetrics
import org.apache.logging.log4j.LogManager
import java.util.UUID

/** A steward that runs: it holds duties under leases until it is closed. */
public class StewardProgram(
    private val settings: StewardSettings,
    store: KeyValueStore = EtcdGatewayKeyValueStore(settings.platformAddress),
    private val directory: InstanceDirectory = HttpInstanceDirectory(settings.platformAddress),
) : AutoCloseable {
    private val incarnation = Incarnation(settings.instance, UUID.randomUUID().toString())
    private val registry = PrometheusRegistry()
    private val lease = DutyLease(
        store = store,
        name = "steward",
        holder = incarnation,
        timeToLive = settings.leaseTimeToLive,
        margin = settings.leaseMargin,
    )
    private val peers = PeerClients()
    private val rolloutLease = DutyLease(
        store = store,
        name = "rollouts",
        holder = incarnation,
        timeToLive = settings.leaseTimeToLive,
        margin = settings.leaseMargin,
    )
    private val rollouts = RolloutDuty(store, PeerRolloutEntries(directory, peers), rolloutLease)
    private val server: Javalin = startOperatorServer()
    private val scheduler = newScheduler("steward")

    init {
        scheduler.every(settings.dutyPeriod) {
            announce()
            lease.renew()
        }
        scheduler.every(settings.dutyPeriod, rolloutLease::renew)
        scheduler.every(settings.dutyPeriod, rollouts::run)
        logger.info("steward {} has started", incarnation)
    }

    private fun startOperatorServer(): Javalin {
        val address = requireNotNull(HostPort.parse(settings.operatorAddress)) { "checked with the settings" }
        return startHttpServer(address.host, address.port) {
            get("/metrics") { writeMetrics(it, registry) }
            get("/health/live") { it.result("live") }
        }
    }

    private fun announce() {
        directory.announce(
            ListedInstance(
                id = settings.instance,
                kind = InstanceKind.STEWARD,
                address = "http://${HostPort.parse(settings.operatorAddress)?.host}:${server.port()}",
                failureDomain = settings.failureDomain,
                start = incarnation.start,
            ),
        )
    }

    override fun close() {
        scheduler.shutdownNow()
        lease.release()
        rolloutLease.release()
        peers.close()
        directory.remove(settings.instance)
        server.stop()
        logger.info("steward {} has stopped", incarnation)
    }

    private companion object {
        val logger = LogManager.getLogger(StewardProgram::class.java)
    }
}
