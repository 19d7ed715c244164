package io.quetzalfield.entry

import io.grpc.stub.StreamObserver
import io.quetzalfield.peer.wire.FingerprintList
import io.quetzalfield.peer.wire.ListsOffer
import io.quetzalfield.peer.wire.ListsPush
import io.quetzalfield.peer.wire.ListsReply
import io.quetzalfield.peer.wire.ObservationsReply
import io.quetzalfield.peer.wire.ObservationsRequest
import io.quetzalfield.peer.wire.PeerGrpc
import io.quetzalfield.peer.wire.VersionStop
import io.quetzalfield.peer.wire.VersionStopReply

/** What an entry answers its peers. */
internal class EntryPeerService(private val lists: ListsHolder, private val control: EntryControl) :
    PeerGrpc.PeerImplBase() {
    override fun exchangeLists(request: ListsOffer, observer: StreamObserver<ListsReply>) {
        observer.answer(lists.replyTo(request.revision))
    }

    override fun pushLists(request: ListsPush, observer: StreamObserver<ListsReply>) {
        lists.adoptJson(request.lists.toStringUtf8())
        observer.answer(lists.replyTo(lists.revision.value))
    }

    override fun exchangeFingerprints(request: FingerprintList, observer: StreamObserver<FingerprintList>) {
        observer.answer(control.answerFingerprints(request))
    }

    override fun readObservations(request: ObservationsRequest, observer: StreamObserver<ObservationsReply>) {
        observer.answer(control.answerObservations())
    }

    override fun stopVersion(request: VersionStop, observer: StreamObserver<VersionStopReply>) {
        control.learnStop(request)
        observer.answer(VersionStopReply.getDefaultInstance())
    }
}

internal fun <T> StreamObserver<T>.answer(reply: T) {
    onNext(reply)
    onCompleted()
}
