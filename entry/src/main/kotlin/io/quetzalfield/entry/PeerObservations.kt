package io.quetzalfield.entry

import io.quetzalfield.decision.RolloutObservations
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.ModelId
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.VersionId
import io.quetzalfield.peer.PeerClients
import io.quetzalfield.peer.wire.ObservationsReply
import io.quetzalfield.peer.wire.ObservationsRequest
import io.quetzalfield.peer.wire.VersionObservations
import io.quetzalfield.peer.wire.VersionStop
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Reads observations from the other entries and notifies them of version stops. Each call has a short deadline. */
internal class PeerObservations(
    private val incarnation: Incarnation,
    private val fleet: FleetView,
    private val peers: PeerClients,
) : RolloutPeers {
    override fun observations(): Map<ModelVersionReference, RolloutObservations> {
        val sums = mutableMapOf<ModelVersionReference, RolloutObservations>()
        for (peer in otherEntries().take(LARGEST_FAN_OUT)) {
            peers.call(peer.peerAddress.orEmpty(), TIMEOUT) { it.readObservations(REQUEST) }.onRight { reply ->
                reply.versionsList.forEach { sums.merge(it.reference, it.toSums(), RolloutObservations::plus) }
            }
        }
        return sums
    }

    override fun notifyStop(version: ModelVersionReference, reason: String, revision: ListsRevision): Boolean {
        val stop = VersionStop.newBuilder()
            .setModel(version.model.value)
            .setVersion(version.version.value)
            .setReason(reason)
            .setListsRevision(revision.value)
            .build()
        val results = otherEntries().map { peer ->
            peers.call(peer.peerAddress.orEmpty(), TIMEOUT) { it.stopVersion(stop) }
        }
        return results.all { it.isRight() }
    }

    private fun otherEntries(): List<ListedInstance> =
        fleet.entries.filter { it.id != incarnation.instance && it.peerAddress != null }

    private companion object {
        const val LARGEST_FAN_OUT = 16
        val TIMEOUT: Duration = 300.milliseconds
        val REQUEST: ObservationsRequest = ObservationsRequest.getDefaultInstance()
    }
}

/** Returns the reply that reports the observations of this entry. */
internal fun ObservationBook.toReply(incarnation: Incarnation): ObservationsReply = ObservationsReply.newBuilder()
    .setIncarnation(incarnation.toString())
    .addAllVersions(all.map { (version, sums) -> sums.toWire(version) })
    .build()

private fun RolloutObservations.toWire(version: ModelVersionReference): VersionObservations =
    VersionObservations.newBuilder()
        .setModel(version.model.value)
        .setVersion(version.version.value)
        .setAnswers(answers)
        .setRated(rated)
        .setPassed(passed)
        .setErrors(errors)
        .setSlow(slow)
        .build()

private val VersionObservations.reference: ModelVersionReference
    get() = ModelVersionReference(ModelId(model), VersionId(version))

private fun VersionObservations.toSums() = RolloutObservations(answers, rated, passed, errors, slow)
