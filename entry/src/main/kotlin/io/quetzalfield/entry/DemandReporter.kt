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

/** Reports this entry's demand to the steward that divides the allowances, and adopts the shares in its reply. */
internal class DemandReporter(
    private val incarnation: Incarnation,
    private val fleet: FleetView,
    private val peers: PeerClients,
    private val shares: GrantedAllowanceShares,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private var lastDivider: String? = null

    /** Reports to the steward that divided last, and then to each other one until one of them replies with shares. */
    fun report() {
        val demands = shares.collectDemand()
        val addresses = fleet.stewards.mapNotNull { it.peerAddress }
        val inOrder = addresses.sortedByDescending { it == lastDivider }
        lastDivider = inOrder.firstOrNull { address -> reportTo(address, demands) }
    }

    /** Sends [demands] to the steward at [address]; returns `true` if it divides the allowances. */
    private fun reportTo(address: String, demands: Map<ClientAccountId, Double>): Boolean {
        val requestedAt = timeSource.markNow()
        val reply = peers.call(address, TIMEOUT) { it.reportDemand(reportOf(demands)) }.getOrNull()
        val isDivider = reply != null && reply.generation > 0
        if (reply != null && isDivider) adopt(reply, requestedAt)
        return isDivider
    }

    private fun reportOf(demands: Map<ClientAccountId, Double>): DemandReport = DemandReport.newBuilder()
        .setIncarnation(incarnation.toString())
        .setFencingNumber(shares.fencingNumber)
        .setConfirmedGeneration(shares.confirmedGeneration(shares.fencingNumber))
        .addAllDemands(demands.map { (account, rate) -> accountDemand(account, rate) })
        .build()

    private fun accountDemand(account: ClientAccountId, rate: Double): AccountDemand =
        AccountDemand.newBuilder().setClientAccount(account.value).setTokensPerMinute(rate).build()

    private fun adopt(reply: ShareReply, requestedAt: ComparableTimeMark) {
        val fractions = reply.sharesList.associate { ClientAccountId(it.clientAccount) to it.fraction }
        shares.adopt(reply.fencingNumber, AllowanceDivision(reply.generation, fractions), requestedAt)
    }

    private companion object {
        val TIMEOUT = 1.seconds
    }
}
