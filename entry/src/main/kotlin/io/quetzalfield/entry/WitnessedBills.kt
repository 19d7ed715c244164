package io.quetzalfield.entry

import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.RequestKey
import io.quetzalfield.peer.wire.BillRecord
import io.quetzalfield.peer.wire.WitnessReply.Verdict
import io.quetzalfield.peer.wire.WitnessedIncarnation
import io.quetzalfield.store.bills.billingProcess
import java.util.TreeMap
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.TimeSource

/**
 * The bills of other incarnations for which this entry is a witness.
 *
 * @param recordRetention time for which the bills of an incarnation are kept after it was last heard from. It must be
 * shorter than the time for which stewards keep folded cells.
 * @param sealRetention time for which bills of a sealed incarnation are refused.
 */
public class WitnessedBills(
    private val billedKeys: BilledKeys = BilledKeys(),
    private val recordRetention: Duration = 30.minutes,
    private val sealRetention: Duration = 24.hours,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    /** The bills of one incarnation; guarded by its own monitor. */
    private inner class IncarnationBills(val incarnation: Incarnation) {
        val records = TreeMap<Long, BillRecord>()
        var isSealed = false
        var lastHeard: ComparableTimeMark = timeSource.markNow()

        fun dropExpiredRecords() {
            if (lastHeard.elapsedNow() > recordRetention) records.clear()
        }

        val isExpired: Boolean
            get() = lastHeard.elapsedNow() > (if (isSealed) sealRetention else recordRetention)
    }

    private val billsByIncarnation = ConcurrentHashMap<Incarnation, IncarnationBills>()

    /** Stores [record] unless its key is billed by another process or its incarnation is sealed. */
    public fun store(record: BillRecord): Verdict {
        val sender = Incarnation.parse(record.incarnation) ?: return Verdict.UNKNOWN
        return withBillsOf(sender) { bills ->
            if (bills.isSealed) return@withBillsOf Verdict.SEALED
            bills.lastHeard = timeSource.markNow()
            if (!billedKeys.witness(record.accountKey, sender.billingProcess)) return@withBillsOf Verdict.ALREADY_BILLED
            bills.records[record.sequence] = record
            Verdict.STORED
        }
    }

    /** Drops the bills of [incarnation] through [sequence], which its cell contains. Their keys stay known. */
    public fun forget(incarnation: Incarnation, sequence: Long): Unit = withBillsOf(incarnation) { bills ->
        if (!bills.isSealed) bills.lastHeard = timeSource.markNow()
        bills.records.headMap(sequence, true).clear()
    }

    /** Seals [incarnation], so that its later bills are refused, and returns its bills after [sequence]. Idempotent. */
    public fun collect(incarnation: Incarnation, sequence: Long): List<BillRecord> = withBillsOf(incarnation) { bills ->
        bills.isSealed = true
        bills.records.tailMap(sequence, false).values.toList()
    }

    /**
     * Marks the keys of [records] as billed; these are the bills of an ended incarnation, collected from all witnesses.
     * Returns the records whose keys are known to be billed by another process.
     */
    public fun markBilledByOthers(records: Collection<BillRecord>): List<BillRecord> = records.filterNot { record ->
        val ended = Incarnation.parse(record.incarnation)
        ended == null || billedKeys.learn(record.accountKey, ended.billingProcess)
    }

    /** Returns the incarnations whose bills are kept here. */
    public fun incarnations(): List<WitnessedIncarnation> {
        dropExpired()
        return billsByIncarnation.keys
            .map { incarnation -> withBillsOf(incarnation, ::describe) }
            .filter { it.bills > 0 }
    }

    private fun describe(bills: IncarnationBills): WitnessedIncarnation = WitnessedIncarnation.newBuilder()
        .setIncarnation(bills.incarnation.toString())
        .setBills(bills.records.size)
        .setSilenceMilliseconds(bills.lastHeard.elapsedNow().inWholeMilliseconds)
        .build()

    private fun dropExpired() {
        billsByIncarnation.entries.removeIf { (_, bills) -> synchronized(bills) { bills.isExpired } }
    }

    private fun <T> withBillsOf(incarnation: Incarnation, action: (IncarnationBills) -> T): T {
        while (true) {
            val bills = billsByIncarnation.computeIfAbsent(incarnation, ::IncarnationBills)
            synchronized(bills) {
                if (billsByIncarnation[incarnation] === bills) {
                    bills.dropExpiredRecords()
                    return action(bills)
                }
            }
        }
    }
}

private val BillRecord.accountKey: AccountKey
    get() = AccountKey(ClientAccountId(clientAccount), RequestKey(requestKey))
