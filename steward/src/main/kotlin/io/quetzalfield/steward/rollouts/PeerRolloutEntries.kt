package io.quetzalfield.steward.rollouts

import io.quetzalfield.decision.RolloutObservations
import io.quetzalfield.model.InstanceKind
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.ModelId
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.VersionId
import io.quetzalfield.peer.PeerClients
import io.quetzalfield.peer.wire.ObservationsRequest
import io.quetzalfield.peer.wire.VersionObservations
import io.quetzalfield.peer.wire.VersionStop
import io.quetzalfield.store.InstanceDirectory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Calls the entries that the platform lists over the peer protocol; those that do not respond are skipped. */
internal class PeerRolloutEntries(private val directory: InstanceDirectory, private val peers: PeerClients) :
    RolloutEntries {
    override fun observations(): Map<ModelVersionReference, RolloutObservations> {
        val sums = mutableMapOf<ModelVersionReference, RolloutObservations>()
        for (address in entryAddresses()) {
            val request = ObservationsRequest.getDefaultInstance()
            peers.call(address, TIMEOUT) { it.readObservations(request) }.onRight { reply ->
                reply.versionsList.forEach { sums.merge(it.reference, it.toSums(), RolloutObservations::plus) }
            }
        }
        return sums
    }

    override fun stop(version: ModelVersionReference, reason: String, revision: ListsRevision) {
        val stop = VersionStop.newBuilder()
            .setModel(version.model.value)
            .setVersion(version.version.value)
            .setReason(reason)
            .setListsRevision(revision.value)
            .build()
        entryAddresses().forEach { address -> peers.call(address, TIMEOUT) { it.stopVersion(stop) } }
    }

    private fun entryAddresses(): List<String> = directory.instances().getOrNull().orEmpty()
        .filter { it.kind == InstanceKind.ENTRY }
        .mapNotNull { it.peerAddress }

    private val VersionObservations.reference: ModelVersionReference
        get() = ModelVersionReference(ModelId(model), VersionId(version))

    private fun VersionObservations.toSums() = RolloutObservations(answers, rated, passed, errors, slow)

    private companion object {
        val TIMEOUT: Duration = 300.milliseconds
    }
}
