package io.quetzalfield.entry

import io.quetzalfield.decision.CrashQuarantine
import io.quetzalfield.decision.FingerprintReport
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.model.RequestFingerprint
import io.quetzalfield.peer.PeerClients
import io.quetzalfield.peer.wire.Fingerprint
import io.quetzalfield.peer.wire.FingerprintList
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Exchanges fingerprints of suspect and quarantined requests with the other entries. */
internal class FingerprintExchange(
    private val incarnation: Incarnation,
    private val quarantine: CrashQuarantine,
    private val fleet: FleetView,
    private val peers: PeerClients,
) : AutoCloseable {
    private val executor = Executors.newCachedThreadPool { task ->
        Thread(task, "fingerprint-exchange").apply { isDaemon = true }
    }
    private var nextPeer = 0

    /** Exchanges with all other live entries in parallel and waits until each has replied or timed out. */
    fun exchangeWithAll() {
        val calls = otherEntries().map { peer -> CompletableFuture.runAsync({ exchange(peer) }, executor) }
        CompletableFuture.allOf(*calls.toTypedArray()).join()
    }

    /** Exchanges with the next other live entry in turn. */
    fun exchangeWithNext() {
        val entries = otherEntries()
        if (entries.isNotEmpty()) exchange(entries[nextPeer++ % entries.size])
    }

    /** Merges the reports of a peer and returns the reports of this entry. */
    fun answer(request: FingerprintList): FingerprintList {
        learn(request)
        return ownReports()
    }

    private fun otherEntries(): List<ListedInstance> =
        fleet.entries.filter { it.id != incarnation.instance && it.peerAddress != null }

    private fun exchange(peer: ListedInstance) {
        val address = peer.peerAddress ?: return
        val offer = ownReports()
        peers.call(address, TIMEOUT) { it.exchangeFingerprints(offer) }.onRight(::learn)
    }

    private fun learn(list: FingerprintList) {
        val reports = list.fingerprintsList.map { wire ->
            FingerprintReport(RequestFingerprint(wire.fingerprint), wire.crashes, wire.ageMilliseconds.milliseconds)
        }
        quarantine.merge(InstanceId(list.sender), reports)
    }

    private fun ownReports(): FingerprintList = FingerprintList.newBuilder()
        .setSender(incarnation.instance.value)
        .addAllFingerprints(quarantine.reports().map(FingerprintReport::toWire))
        .build()

    override fun close() {
        executor.shutdownNow()
    }

    private companion object {
        val TIMEOUT: Duration = 500.milliseconds
    }
}

private fun FingerprintReport.toWire(): Fingerprint = Fingerprint.newBuilder()
    .setFingerprint(fingerprint.value)
    .setCrashes(crashes)
    .setAgeMilliseconds(age.inWholeMilliseconds)
    .build()
