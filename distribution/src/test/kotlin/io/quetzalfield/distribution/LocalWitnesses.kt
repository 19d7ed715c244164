package io.quetzalfield.distribution

import arrow.core.Either
import arrow.core.right
import io.quetzalfield.entry.WitnessedBills
import io.quetzalfield.model.Incarnation
import io.quetzalfield.peer.wire.BillRecord
import io.quetzalfield.steward.bills.BillWitnesses
import io.quetzalfield.steward.bills.CollectedBill
import io.quetzalfield.steward.bills.WitnessError
import io.quetzalfield.steward.bills.WitnessedSender
import io.quetzalfield.steward.bills.toCollected
import io.quetzalfield.steward.bills.toRecord

/** Witnesses of entries in this process, all of which answer; passes a line about each result to [log]. */
internal class LocalWitnesses(
    private val log: (String) -> Unit = {},
    private val witnesses: () -> List<WitnessedBills>,
) : BillWitnesses {
    override fun senders(): List<WitnessedSender> = emptyList()

    override fun collect(incarnation: Incarnation, sequence: Long): Either<WitnessError, List<CollectedBill>> {
        val collected = witnesses().flatMap { it.collect(incarnation, sequence) }
            .map(BillRecord::toCollected)
            .distinctBy(CollectedBill::sequence)
        log("collected of $incarnation after $sequence: ${collected.map { it.sequence to it.account.value }}")
        return collected.right()
    }

    override fun announce(incarnation: Incarnation, bills: List<CollectedBill>): Either<WitnessError, Set<Long>> {
        val records = bills.map { it.toRecord(incarnation) }
        val refused = witnesses().flatMap { it.markBilledByOthers(records) }.map(BillRecord::getSequence).toSet()
        if (refused.isNotEmpty()) log("bills $refused of $incarnation are billed by others")
        return refused.right()
    }

    override fun forget(incarnation: Incarnation) = witnesses().forEach { it.forget(incarnation, Long.MAX_VALUE) }
}
