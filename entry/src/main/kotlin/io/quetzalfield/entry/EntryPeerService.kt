package io.quetzalfield.entry

import io.grpc.stub.StreamObserver
import io.quetzalfield.peer.wire.ListsOffer
import io.quetzalfield.peer.wire.ListsPush
import io.quetzalfield.peer.wire.ListsReply
import io.quetzalfield.peer.wire.PeerGrpc

/** What an entry answers its peers. */
internal class EntryPeerService(private val lists: ListsHolder, private val onNewLists: () -> Unit = {}) :
    PeerGrpc.PeerImplBase() {
    override fun exchangeLists(request: ListsOffer, observer: StreamObserver<ListsReply>) {
        observer.answer(lists.replyTo(request.revision))
    }

    override fun pushLists(request: ListsPush, observer: StreamObserver<ListsReply>) {
        val isNew = lists.adoptJson(request.lists.toStringUtf8())
        observer.answer(lists.replyTo(lists.revision.value))
        if (isNew) onNewLists()
    }
}

internal fun <T> StreamObserver<T>.answer(reply: T) {
    onNext(reply)
    onCompleted()
}
