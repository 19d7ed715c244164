package io.quetzalfield.steward.bills

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceKind
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.peer.PeerClients
import io.quetzalfield.peer.wire.BillRecord
import io.quetzalfield.peer.wire.CollectRequest
import io.quetzalfield.peer.wire.ForgetRequest
import io.quetzalfield.peer.wire.WitnessedRequest
import io.quetzalfield.store.InstanceDirectory
import io.quetzalfield.store.bills.BillTotals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An incarnation whose bills a witness keeps, and how long the witness has heard nothing of it. */
public data class WitnessedSender(val incarnation: Incarnation, val silence: Duration)

/** A bill that a witness kept. */
public data class CollectedBill(val sequence: Long, val account: ClientAccountId, val totals: BillTotals)

/** An entry that may keep bills did not answer. */
public data class WitnessError(val message: String)

/** The entries as witnesses of bills. */
public interface BillWitnesses {
    /** The incarnations whose bills are kept, as far as the entries answer. */
    public fun senders(): List<WitnessedSender>

    /**
     * Makes all entries refuse later bills of [incarnation] and returns those after [sequence]. Fails unless every
     * listed entry has answered.
     */
    public fun collect(incarnation: Incarnation, sequence: Long): Either<WitnessError, List<CollectedBill>>

    /** Tells all entries that the bills of [incarnation] are stored. */
    public fun forget(incarnation: Incarnation)
}

/** Reaches the entries by the peer protocol. */
public class PeerBillWitnesses(
    private val directory: InstanceDirectory,
    private val peers: PeerClients,
    private val timeout: Duration = 2.seconds,
) : BillWitnesses {
    override fun senders(): List<WitnessedSender> {
        val request = WitnessedRequest.getDefaultInstance()
        return addresses().getOrNull().orEmpty()
            .mapNotNull { address -> peers.call(address, timeout) { it.listWitnessed(request) }.getOrNull() }
            .flatMap { it.incarnationsList }
            .mapNotNull { sender ->
                Incarnation.parse(sender.incarnation)
                    ?.let { WitnessedSender(it, sender.silenceMilliseconds.milliseconds) }
            }
    }

    override fun collect(incarnation: Incarnation, sequence: Long): Either<WitnessError, List<CollectedBill>> {
        val request = CollectRequest.newBuilder()
            .setIncarnation(incarnation.toString())
            .setAfterSequence(sequence)
            .build()
        return addresses().flatMap { addresses ->
            val collected = mutableListOf<CollectedBill>()
            for (address in addresses) {
                when (val reply = peers.call(address, timeout) { it.collectBills(request) }) {
                    is Either.Left -> return WitnessError("$address: ${reply.value.message}").left()
                    is Either.Right -> collected += reply.value.recordsList.map(BillRecord::toCollected)
                }
            }
            collected.distinctBy(CollectedBill::sequence).right()
        }
    }

    override fun forget(incarnation: Incarnation) {
        val request = ForgetRequest.newBuilder()
            .setIncarnation(incarnation.toString())
            .setThroughSequence(Long.MAX_VALUE)
            .build()
        for (address in addresses().getOrNull().orEmpty()) peers.call(address, timeout) { it.forgetBills(request) }
    }

    private fun addresses(): Either<WitnessError, List<String>> = directory.instances()
        .mapLeft { WitnessError(it.message) }
        .map { instances ->
            instances.filter { it.kind == InstanceKind.ENTRY }.mapNotNull(ListedInstance::peerAddress)
        }
}

private fun BillRecord.toCollected(): CollectedBill =
    CollectedBill(sequence, ClientAccountId(clientAccount), BillTotals(1, tokens, priceMicros))
