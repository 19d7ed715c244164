package io.quetzalfield.forwarding.fleet

import arrow.core.getOrElse
import io.quetzalfield.decision.fingerprintOf
import io.quetzalfield.forwarding.DecisionLog
import io.quetzalfield.forwarding.crashes.BlameReport
import io.quetzalfield.store.KeyValueStore
import io.quetzalfield.store.LeaseId
import io.quetzalfield.store.PlatformJson
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * Keeps in the store which requests are refused as they make endpoints end, so that an instance that starts knows it
 * even if all instances have ended meanwhile. Each record is written by the instance that decided.
 *
 * @param decisions returns the decisions of this instance.
 */
internal class BlameRecords(private val store: KeyValueStore, private val decisions: () -> List<BlameReport>) {
    private var lease: LeaseId? = null
    private val records = LeasedRecords(store) { lease }

    /** Writes what has changed. Call it several times per second. */
    @Synchronized
    fun publish() {
        val reports = decisions().takeLast(MAXIMUM_RECORDS)
        if (reports.isEmpty()) return
        // A restored store has lost the lease and the records under it.
        if (lease?.era != store.era) lease = store.grantLease(TimeToLive).getOrElse { return }
        for (report in reports) {
            val key = FleetKeys.blame(fingerprintOf(report.suspect.value))
            records.publish(key, report.copy(ageMilliseconds = 0, trialAgeMilliseconds = 0)) {
                PlatformJson.encodeToString(BlameReport.serializer(), report)
            }
        }
    }

    /** Extends the lease of the records. Call it several times within [TimeToLive]. */
    @Synchronized
    fun renew() {
        val current = lease ?: return
        if (store.keepAlive(current).getOrElse { return }) return
        DecisionLog.write("crash_records_lapsed", "lease" to current.value)
        lease = null
    }

    companion object {
        /** More than the time in which instances that were all stopped are started again. */
        val TimeToLive: Duration = 10.minutes

        /** Records of one instance; each is written once or twice. */
        private const val MAXIMUM_RECORDS = 32
    }
}
