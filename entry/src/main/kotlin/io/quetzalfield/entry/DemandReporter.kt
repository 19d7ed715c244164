package io.quetzalfield.entry

import io.quetzalfield.decision.AllowanceDivision
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.peer.PeerClients
import io.quetzalfield.peer.wire.AccountDemand
import io.quetzalfield.peer.wire.DemandReport
import io.quetzalfield.peer.wire.ShareReply
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Reports this entry's demand to the steward that divides the allowances, and takes the shares it replies. */
internal class DemandReporter(
    private val own: Incarnation,
    private val fleet: FleetView,
    private val peers: PeerClients,
    private val shares: GrantedAllowanceShares,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private var divider: String? = null

    /** Asks the steward that divided last, or else each in turn until one divides. */
    fun report() {
        val demands = shares.takeDemand()
        val addresses = fleet.stewards.mapNotNull { it.peerAddress }
        val inOrder = addresses.sortedByDescending { it == divider }
        divider = inOrder.firstOrNull { address -> isDividedBy(address, demands) }
    }

    private fun isDividedBy(address: String, demands: Map<ClientAccountId, Double>): Boolean {
        val askedAt = timeSource.markNow()
        val reply = peers.call(address, TIMEOUT) { it.reportDemand(reportOf(demands)) }.getOrNull()
        val isDivider = reply != null && reply.generation > 0
        if (reply != null && isDivider) adopt(reply, askedAt)
        return isDivider
    }

    private fun reportOf(demands: Map<ClientAccountId, Double>): DemandReport = DemandReport.newBuilder()
        .setIncarnation(own.toString())
        .setFencingNumber(shares.fencingNumber)
        .setConfirmedGeneration(shares.confirmedGeneration(shares.fencingNumber))
        .addAllDemands(demands.map { (account, rate) -> accountDemand(account, rate) })
        .build()

    private fun accountDemand(account: ClientAccountId, rate: Double): AccountDemand =
        AccountDemand.newBuilder().setClientAccount(account.value).setTokensPerMinute(rate).build()

    private fun adopt(reply: ShareReply, askedAt: ComparableTimeMark) {
        val fractions = reply.sharesList.associate { ClientAccountId(it.clientAccount) to it.fraction }
        shares.adopt(reply.fencingNumber, AllowanceDivision(reply.generation, fractions), askedAt)
    }

    private companion object {
        val TIMEOUT = 1.seconds
    }
}
