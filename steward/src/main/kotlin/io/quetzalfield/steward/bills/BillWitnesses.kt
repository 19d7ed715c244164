package io.quetzalfield.steward.bills

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.raise.either
import arrow.core.right
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceKind
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.model.RequestKey
import io.quetzalfield.peer.PeerClients
import io.quetzalfield.peer.wire.BillRecord
import io.quetzalfield.peer.wire.CollectReply
import io.quetzalfield.peer.wire.CollectRequest
import io.quetzalfield.peer.wire.ForgetRequest
import io.quetzalfield.peer.wire.WitnessedRequest
import io.quetzalfield.store.InstanceDirectory
import io.quetzalfield.store.bills.BillTotals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An incarnation whose bills a witness keeps, and the time since the witness last heard from it. */
public data class WitnessedSender(val incarnation: Incarnation, val silence: Duration)

/** A bill that a witness kept. */
public data class CollectedBill(
    val sequence: Long,
    val account: ClientAccountId,
    val key: RequestKey,
    val totals: BillTotals,
)

/** Why the witnesses could not be asked: the list of instances or an entry did not respond. */
public data class WitnessError(val message: String)

/** The entries in their role as witnesses of bills. */
public interface BillWitnesses {
    /** The incarnations whose bills are kept by the entries that respond. */
    public fun senders(): List<WitnessedSender>

    /**
     * Makes all entries refuse later bills of [incarnation] and returns the bills after [sequence] that they keep.
     * Fails unless every listed entry has responded.
     */
    public fun collect(incarnation: Incarnation, sequence: Long): Either<WitnessError, List<CollectedBill>>

    /**
     * Announces to all entries that the keys of [bills], which were collected for [incarnation], are billed, because
     * any entry may receive the next request with such a key. Returns the sequence numbers of the bills whose keys are
     * known to be billed by another process. Fails unless every listed entry has responded; a repeated call changes
     * nothing.
     */
    public fun announce(incarnation: Incarnation, bills: List<CollectedBill>): Either<WitnessError, Set<Long>>

    /** Notifies all entries that the bills of [incarnation] are stored, so that they can be forgotten. */
    public fun forget(incarnation: Incarnation)
}

/** Calls the entries over the peer protocol. */
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
        return askAll(request).map { replies ->
            replies.flatMap(
                CollectReply::getRecordsList,
            ).map(BillRecord::toCollected).distinctBy(CollectedBill::sequence)
        }
    }

    override fun announce(incarnation: Incarnation, bills: List<CollectedBill>): Either<WitnessError, Set<Long>> {
        if (bills.isEmpty()) return emptySet<Long>().right()
        val request = CollectRequest.newBuilder()
            .setIncarnation(incarnation.toString())
            .setAfterSequence(bills.maxOf(CollectedBill::sequence))
            .addAllCollected(bills.map { it.toRecord(incarnation) })
            .build()
        return askAll(request).map { replies -> replies.flatMap(CollectReply::getBilledByOthersList).toSet() }
    }

    private fun askAll(request: CollectRequest): Either<WitnessError, List<CollectReply>> =
        addresses().flatMap { addresses ->
            either {
                addresses.map { address ->
                    peers.call(address, timeout) { it.collectBills(request) }
                        .mapLeft { WitnessError("$address: ${it.message}") }
                        .bind()
                }
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

/** The bill in this record of a witness. */
public fun BillRecord.toCollected(): CollectedBill = CollectedBill(
    sequence = sequence,
    account = ClientAccountId(clientAccount),
    key = RequestKey(requestKey),
    totals = BillTotals(1, tokens, priceMicros),
)

/** The record that announces this bill of [incarnation] to entries. */
public fun CollectedBill.toRecord(incarnation: Incarnation): BillRecord = BillRecord.newBuilder()
    .setIncarnation(incarnation.toString())
    .setSequence(sequence)
    .setClientAccount(account.value)
    .setRequestKey(key.value)
    .setTokens(totals.tokens)
    .setPriceMicros(totals.priceMicros)
    .build()
