package io.quetzalfield.entry

import arrow.core.getOrElse
import io.quetzalfield.decision.witnessOrder
import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.model.incarnation
import io.quetzalfield.peer.PeerClients
import io.quetzalfield.peer.wire.BillRecord
import io.quetzalfield.peer.wire.ForgetRequest
import io.quetzalfield.peer.wire.WitnessReply.Verdict
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Stores bills at other live entries. For each bill, entries are tried in the witness order of its scope.
 *
 * @param timeout time limit of one call to a witness.
 */
internal class PeerBillWitness(
    private val ownInstance: InstanceId,
    private val ownDomain: FailureDomainId,
    private val fleet: FleetView,
    private val peers: PeerClients,
    private val timeout: Duration = DEFAULT_TIMEOUT,
) : BillWitness {
    private val witnesses = ConcurrentHashMap<Incarnation, ConcurrentHashMap<Long, ListedInstance>>()

    override fun store(bill: NumberedBill): WitnessOutcome {
        val record = bill.toRecord()
        for (candidate in candidates(bill).take(MAXIMUM_CANDIDATES)) {
            val outcome = storeAt(candidate, record)
            if (outcome == WitnessOutcome.STORED) witnessesOf(bill.incarnation)[bill.sequence] = candidate
            if (outcome != WitnessOutcome.UNREACHABLE) return outcome
        }
        return WitnessOutcome.UNREACHABLE
    }

    private fun storeAt(candidate: ListedInstance, record: BillRecord): WitnessOutcome {
        val address = candidate.peerAddress ?: return WitnessOutcome.UNREACHABLE
        val reply = peers.call(address, timeout) { it.witnessBill(record) }
            .getOrElse { return WitnessOutcome.UNREACHABLE }
        return when (reply.verdict) {
            Verdict.STORED -> WitnessOutcome.STORED
            Verdict.ALREADY_BILLED -> WitnessOutcome.ALREADY_BILLED
            Verdict.SEALED -> WitnessOutcome.SEALED
            else -> WitnessOutcome.UNREACHABLE
        }
    }

    override fun forget(incarnation: Incarnation, sequence: Long) {
        val request = ForgetRequest.newBuilder()
            .setIncarnation(incarnation.toString())
            .setThroughSequence(sequence)
            .build()
        val kept = witnessesOf(incarnation)
        val addresses = kept.values.mapNotNull(ListedInstance::peerAddress).toSet()
        for (address in addresses) peers.call(address, timeout) { it.forgetBills(request) }
        kept.keys.removeIf { it <= sequence }
    }

    override fun isMisplaced(bill: NumberedBill): Boolean {
        val current = witnessesOf(bill.incarnation)[bill.sequence] ?: return false
        val firstChoice = candidates(bill).firstOrNull() ?: return false
        return current.incarnation != firstChoice.incarnation
    }

    private fun candidates(bill: NumberedBill): List<ListedInstance> =
        witnessOrder(bill.bill.scope, ownInstance, ownDomain, fleet.entries)

    private fun witnessesOf(incarnation: Incarnation): ConcurrentHashMap<Long, ListedInstance> =
        witnesses.computeIfAbsent(incarnation) { ConcurrentHashMap() }

    private companion object {
        const val MAXIMUM_CANDIDATES = 3
        val DEFAULT_TIMEOUT = 200.milliseconds
    }
}

private fun NumberedBill.toRecord(): BillRecord = BillRecord.newBuilder()
    .setIncarnation(incarnation.toString())
    .setSequence(sequence)
    .setClientAccount(bill.account.value)
    .setRequestKey(bill.key.value)
    .setTokens(bill.tokens)
    .setPriceMicros(bill.priceMicros)
    .build()
