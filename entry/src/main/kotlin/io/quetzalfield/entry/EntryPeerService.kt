package io.quetzalfield.entry

import io.grpc.Status
import io.grpc.stub.StreamObserver
import io.quetzalfield.model.Incarnation
import io.quetzalfield.peer.wire.BillRecord
import io.quetzalfield.peer.wire.CollectReply
import io.quetzalfield.peer.wire.CollectRequest
import io.quetzalfield.peer.wire.FingerprintList
import io.quetzalfield.peer.wire.ForgetReply
import io.quetzalfield.peer.wire.ForgetRequest
import io.quetzalfield.peer.wire.ForwardReply
import io.quetzalfield.peer.wire.ForwardRequest
import io.quetzalfield.peer.wire.ListsOffer
import io.quetzalfield.peer.wire.ListsPush
import io.quetzalfield.peer.wire.ListsReply
import io.quetzalfield.peer.wire.ObservationsReply
import io.quetzalfield.peer.wire.ObservationsRequest
import io.quetzalfield.peer.wire.PeerGrpc
import io.quetzalfield.peer.wire.VersionStop
import io.quetzalfield.peer.wire.VersionStopReply
import io.quetzalfield.peer.wire.WitnessReply
import io.quetzalfield.peer.wire.WitnessedReply
import io.quetzalfield.peer.wire.WitnessedRequest

/** The gRPC service through which an entry answers its peers. */
internal class EntryPeerService(
    private val lists: ListsHolder,
    private val witnessedBills: WitnessedBills,
    private val forwarded: ForwardHandler,
    private val control: EntryControl,
    private val onNewLists: () -> Unit = {},
) : PeerGrpc.PeerImplBase() {
    override fun exchangeLists(request: ListsOffer, observer: StreamObserver<ListsReply>) {
        observer.answer(lists.replyTo(request.revision))
    }

    override fun pushLists(request: ListsPush, observer: StreamObserver<ListsReply>) {
        val isNew = lists.adoptJson(request.lists.toStringUtf8())
        observer.answer(lists.replyTo(lists.revision.value))
        if (isNew) onNewLists()
    }

    override fun witnessBill(request: BillRecord, observer: StreamObserver<WitnessReply>) {
        observer.answer(WitnessReply.newBuilder().setVerdict(witnessedBills.store(request)).build())
    }

    override fun forgetBills(request: ForgetRequest, observer: StreamObserver<ForgetReply>) {
        val incarnation = Incarnation.parse(request.incarnation) ?: return observer.refuse(request.incarnation)
        witnessedBills.forget(incarnation, request.throughSequence)
        observer.answer(ForgetReply.getDefaultInstance())
    }

    override fun collectBills(request: CollectRequest, observer: StreamObserver<CollectReply>) {
        val incarnation = Incarnation.parse(request.incarnation) ?: return observer.refuse(request.incarnation)
        val billedByOthers = witnessedBills.markBilledByOthers(request.collectedList)
        val reply = CollectReply.newBuilder()
            .addAllRecords(witnessedBills.collect(incarnation, request.afterSequence))
            .addAllBilledByOthers(billedByOthers.map(BillRecord::getSequence))
        observer.answer(reply.build())
    }

    override fun listWitnessed(request: WitnessedRequest, observer: StreamObserver<WitnessedReply>) {
        observer.answer(WitnessedReply.newBuilder().addAllIncarnations(witnessedBills.incarnations()).build())
    }

    override fun forward(request: ForwardRequest, observer: StreamObserver<ForwardReply>) {
        forwarded.run(request, observer)
    }

    override fun exchangeFingerprints(request: FingerprintList, observer: StreamObserver<FingerprintList>) {
        observer.answer(control.answerFingerprints(request))
    }

    override fun readObservations(request: ObservationsRequest, observer: StreamObserver<ObservationsReply>) {
        observer.answer(control.answerObservations())
    }

    override fun stopVersion(request: VersionStop, observer: StreamObserver<VersionStopReply>) {
        control.applyReportedStop(request)
        observer.answer(VersionStopReply.getDefaultInstance())
    }
}

internal fun <T> StreamObserver<T>.answer(reply: T) {
    onNext(reply)
    onCompleted()
}

private fun StreamObserver<*>.refuse(incarnation: String) {
    onError(Status.INVALID_ARGUMENT.withDescription("'$incarnation' names no incarnation").asException())
}
