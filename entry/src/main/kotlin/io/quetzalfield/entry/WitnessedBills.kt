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
 * The bills of other incarnations that this entry is a witness of.
 *
 * @param recordRetention time after the last word of an incarnation for which its bills are kept. It must be shorter
 * than the time for which stewards keep folded cells.
 * @param sealRetention time for which bills of a sealed incarnation are refused.
 */
public class WitnessedBills(
    private val billedKeys: BilledKeys = BilledKeys(),
    private val recordRetention: Duration = 30.minutes,
    private val sealRetention: Duration = 24.hours,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    /** What is kept of one incarnation; its own lock guards it. */
    private inner class Holding(val incarnation: Incarnation) {
        val records = TreeMap<Long, BillRecord>()
        var isSealed = false
        var lastHeard: ComparableTimeMark = timeSource.markNow()

        fun dropOldRecords() {
            if (lastHeard.elapsedNow() > recordRetention) records.clear()
        }

        val isOld: Boolean
            get() = lastHeard.elapsedNow() > (if (isSealed) sealRetention else recordRetention)
    }

    private val holdings = ConcurrentHashMap<Incarnation, Holding>()

    /** Keeps [record] unless its key is billed by another or its incarnation is sealed. */
    public fun store(record: BillRecord): Verdict {
        val sender = Incarnation.parse(record.incarnation) ?: return Verdict.UNKNOWN
        return withHolding(sender) { holding ->
            if (holding.isSealed) return@withHolding Verdict.SEALED
            holding.lastHeard = timeSource.markNow()
            if (!billedKeys.witness(record.accountKey, sender.billingProcess)) return@withHolding Verdict.ALREADY_BILLED
            holding.records[record.sequence] = record
            Verdict.STORED
        }
    }

    /** Drops the bills of [incarnation] up to [sequence], which are in its cell. Their keys stay known. */
    public fun forget(incarnation: Incarnation, sequence: Long): Unit = withHolding(incarnation) { holding ->
        if (!holding.isSealed) holding.lastHeard = timeSource.markNow()
        holding.records.headMap(sequence, true).clear()
    }

    /** Refuses all later bills of [incarnation] and returns those after [sequence]. Asking again changes nothing. */
    public fun collect(incarnation: Incarnation, sequence: Long): List<BillRecord> =
        withHolding(incarnation) { holding ->
            holding.isSealed = true
            holding.records.tailMap(sequence, false).values.toList()
        }

    /**
     * Takes the keys of [records], bills of an ended incarnation that were collected from all witnesses, for billed.
     * Returns those whose keys are known to be billed by another process.
     */
    public fun learn(records: Collection<BillRecord>): List<BillRecord> = records.filterNot { record ->
        val ended = Incarnation.parse(record.incarnation)
        ended == null || billedKeys.learn(record.accountKey, ended.billingProcess)
    }

    /** The incarnations whose bills are kept here. */
    public fun incarnations(): List<WitnessedIncarnation> {
        dropOld()
        return holdings.keys.map { incarnation -> withHolding(incarnation, ::describe) }.filter { it.bills > 0 }
    }

    private fun describe(holding: Holding): WitnessedIncarnation = WitnessedIncarnation.newBuilder()
        .setIncarnation(holding.incarnation.toString())
        .setBills(holding.records.size)
        .setSilenceMilliseconds(holding.lastHeard.elapsedNow().inWholeMilliseconds)
        .build()

    private fun dropOld() {
        holdings.entries.removeIf { (_, holding) -> synchronized(holding) { holding.isOld } }
    }

    private fun <T> withHolding(incarnation: Incarnation, action: (Holding) -> T): T {
        while (true) {
            val holding = holdings.computeIfAbsent(incarnation, ::Holding)
            synchronized(holding) {
                if (holdings[incarnation] === holding) {
                    holding.dropOldRecords()
                    return action(holding)
                }
            }
        }
    }
}

private val BillRecord.accountKey: AccountKey
    get() = AccountKey(ClientAccountId(clientAccount), RequestKey(requestKey))
