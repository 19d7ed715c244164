package io.quetzalfield.steward

import io.grpc.Status
import io.grpc.stub.StreamObserver
import io.quetzalfield.decision.EntryDemand
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.peer.wire.AccountShare
import io.quetzalfield.peer.wire.DemandReport
import io.quetzalfield.peer.wire.PeerGrpc
import io.quetzalfield.peer.wire.ShareReply
import io.quetzalfield.steward.allowances.AllowanceDuty
import io.quetzalfield.steward.allowances.FencedDivision

/** The steward's side of the peer protocol. */
internal class StewardPeerService(private val allowances: AllowanceDuty) : PeerGrpc.PeerImplBase() {
    override fun reportDemand(request: DemandReport, observer: StreamObserver<ShareReply>) {
        val entry = Incarnation.parse(request.incarnation)
        if (entry == null) {
            observer.onError(Status.INVALID_ARGUMENT.withDescription("no incarnation").asException())
            return
        }
        val demands = request.demandsList.associate { ClientAccountId(it.clientAccount) to it.tokensPerMinute }
        val demand = EntryDemand(entry, demands, request.confirmedGeneration)
        val division = allowances.divide(demand, request.fencingNumber)
        observer.onNext(division?.toReply() ?: ShareReply.getDefaultInstance())
        observer.onCompleted()
    }
}

private fun FencedDivision.toReply(): ShareReply = ShareReply.newBuilder()
    .setFencingNumber(fencingNumber)
    .setGeneration(division.generation)
    .addAllShares(
        division.fractions.map { (account, fraction) ->
            AccountShare.newBuilder().setClientAccount(account.value).setFraction(fraction).build()
        },
    )
    .build()
