package io.quetzalfield.forwarding.fleet

import io.quetzalfield.decision.CrashQuarantine
import io.quetzalfield.decision.FingerprintReport
import io.quetzalfield.forwarding.DecisionLog
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.RequestFingerprint
import io.quetzalfield.model.RunnerId
import io.quetzalfield.store.PlatformJson
import kotlinx.serialization.Serializable
import kotlin.time.Duration.Companion.milliseconds

/** Report of an instance to the others on requests that may crash the endpoints that run them. */
@Serializable
internal data class CrashReportRecord(val incarnation: Incarnation, val reports: List<Report>) {
    /** A fingerprint with its crashes, the last of them at [runner]; see [FingerprintReport]. */
    @Serializable
    data class Report(
        val fingerprint: RequestFingerprint,
        val crashes: Int,
        val ageMilliseconds: Long,
        val runner: RunnerId? = null,
    )
}

/** Shares the fingerprints of requests that may crash endpoints among the instances. */
internal class CrashReports(
    private val quarantine: CrashQuarantine,
    private val incarnation: Incarnation,
    private val records: LeasedRecords,
) {
    private val key = FleetKeys.crashes(incarnation)

    /** Publishes what has changed. Call it several times per second. */
    fun publish() {
        if (!quarantine.hasSuspects && !records.isPublished(key)) return
        val reports = quarantine.reports().sortedByDescending(FingerprintReport::crashes).take(MAXIMUM_REPORTS)
        val content = reports.associate { it.fingerprint to it.crashes }
        records.publish(key, content) {
            val record = CrashReportRecord(
                incarnation = incarnation,
                reports = reports.map { report ->
                    CrashReportRecord.Report(
                        fingerprint = report.fingerprint,
                        crashes = report.crashes,
                        ageMilliseconds = report.age.inWholeMilliseconds,
                        runner = report.runner,
                    )
                },
            )
            PlatformJson.encodeToString(CrashReportRecord.serializer(), record)
        }
    }

    /** Adopts the report of another instance. */
    fun learn(record: CrashReportRecord) {
        if (record.incarnation == incarnation) return
        val before = quarantine.quarantinedCount
        quarantine.merge(
            record.incarnation.instance,
            record.reports.map {
                FingerprintReport(it.fingerprint, it.crashes, it.ageMilliseconds.milliseconds, it.runner)
            },
        )
        val refused = quarantine.quarantinedCount
        if (refused == before) return
        DecisionLog.write("quarantine_learned", "from" to record.incarnation, "refused" to refused)
    }

    private companion object {
        /** About 150 bytes each; more than the suspects that one endpoint runs for one instance. */
        const val MAXIMUM_REPORTS = 64
    }
}
