package io.quetzalfield.decision

import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.RequestFingerprint
import io.quetzalfield.model.RunnerId
import java.security.MessageDigest
import java.util.HexFormat
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Computes the fingerprint of a request from its [content]; equal content has the same fingerprint on every entry. */
public fun fingerprintOf(content: String): RequestFingerprint {
    val digest = MessageDigest.getInstance("SHA-256").digest(content.encodeToByteArray())
    return RequestFingerprint(HexFormat.of().formatHex(digest, 0, FINGERPRINT_BYTES))
}

private const val FINGERPRINT_BYTES = 16

/** How a request with a given fingerprint may run. */
public enum class CrashVerdict {
    /** No crash is attributed to it; it may run without restrictions. */
    ORDINARY,

    /** A runner crashed while running it. It may run once more on this entry, isolated from other suspects. */
    ISOLATED,

    /** It is a suspect that is already running here, or that another entry handles. */
    BUSY_ELSEWHERE,

    /** It has crashed several runners and is refused. */
    QUARANTINED,
}

/**
 * State of a fingerprint that entries exchange.
 *
 * @property crashes 0 for a cleared fingerprint, 1 for a suspect that the sender handles, 2 for a quarantined one.
 * @property age time since the last crash, or since the clearance.
 * @property runner the runner that crashed last; `null` if it is not reported.
 */
public data class FingerprintReport(
    val fingerprint: RequestFingerprint,
    val crashes: Int,
    val age: Duration,
    val runner: RunnerId? = null,
)

/**
 * Retention times of fingerprints.
 *
 * @property suspectFor time after which a suspect of another entry that was neither cleared nor quarantined may run in
 * isolation on this entry.
 * @property clearedFor time for which a clearance is reported to other entries.
 * @property quarantinedFor time for which a quarantined fingerprint is refused.
 * @property sameCrashWindow time within which several losses of one runner, or a loss on this entry and one that a peer
 * reported, count as one crash.
 */
public data class QuarantineTimes(
    val suspectFor: Duration = 2.minutes,
    val clearedFor: Duration = 1.minutes,
    val quarantinedFor: Duration = 60.minutes,
    val sameCrashWindow: Duration = 5.seconds,
)

/**
 * Detects requests that crash the runners that run them.
 *
 * A request that is in flight when its runner crashes becomes a suspect. A suspect runs once more, on one entry at a
 * time and not together with another suspect. If that runner crashes too, the fingerprint is quarantined on every
 * entry; if the request is answered, the fingerprint is cleared. A fingerprint therefore crashes at most two runners,
 * provided that no copies of it run before the first crash is known, and other requests that shared a runner with it
 * are answered.
 *
 * @param own id of this entry; if two entries suspect a fingerprint at the same time, the one with the lower id runs
 * it.
 */
public class CrashQuarantine(
    private val own: InstanceId,
    private val times: QuarantineTimes = QuarantineTimes(),
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private class Record(var crashes: Int, var changedAt: ComparableTimeMark, var holder: InstanceId) {
        var lastRunner: RunnerId? = null
        var isRunning = false
    }

    private class Shard {
        val records = HashMap<RequestFingerprint, Record>()
    }

    private val shards = List(SHARD_COUNT) { Shard() }

    /**
     * Returns how a request with [fingerprint] may run. After [CrashVerdict.ISOLATED] the fingerprint counts as running
     * on this entry until [recordCrash], [recordAnswer] or [recordAbandonedRun] is called.
     */
    public fun begin(fingerprint: RequestFingerprint): CrashVerdict = inShard(fingerprint) { records ->
        val record = records[fingerprint]?.takeUnless(::isExpired)
        when {
            record == null || record.crashes == 0 -> CrashVerdict.ORDINARY

            record.crashes >= QUARANTINE_CRASHES -> CrashVerdict.QUARANTINED

            record.isRunning || isHeldElsewhere(record) -> CrashVerdict.BUSY_ELSEWHERE

            else -> {
                record.holder = own
                record.isRunning = true
                CrashVerdict.ISOLATED
            }
        }
    }

    /**
     * Whether a request with [fingerprint] is refused. Intended for callers that do not isolate suspects: where many
     * requests share a runner, delaying all that were in flight when it crashed would cost more than a second crash.
     */
    public fun isQuarantined(fingerprint: RequestFingerprint): Boolean = inShard(fingerprint) { records ->
        val record = records[fingerprint]
        record != null && record.crashes >= QUARANTINE_CRASHES && !isExpired(record)
    }

    /** Records that [runner] crashed while it was running the request. */
    public fun recordCrash(fingerprint: RequestFingerprint, runner: RunnerId): Unit = inShard(fingerprint) { records ->
        val record = records[fingerprint]?.takeUnless(::isExpired)
            ?: Record(0, timeSource.markNow(), own).also { records[fingerprint] = it }
        val isSameCrash = isSameCrash(record, runner)
        if (!isSameCrash || record.crashes == 0) record.crashes++
        record.holder = if (isSameCrash) minOf(record.holder, own, compareBy(InstanceId::value)) else own
        record.changedAt = timeSource.markNow()
        record.lastRunner = runner
        record.isRunning = false
    }

    /** Records that the request got its complete answer, which clears a suspect. */
    public fun recordAnswer(fingerprint: RequestFingerprint): Unit = inShard(fingerprint) { records ->
        val record = records[fingerprint] ?: return@inShard
        if (record.crashes >= QUARANTINE_CRASHES || record.crashes == 0) return@inShard
        record.crashes = 0
        record.changedAt = timeSource.markNow()
        record.holder = own
        record.isRunning = false
    }

    /** Records that an isolated run ended with neither an answer nor a crash; it may be repeated. */
    public fun recordAbandonedRun(fingerprint: RequestFingerprint): Unit = inShard(fingerprint) { records ->
        records[fingerprint]?.isRunning = false
    }

    /** Merges the [reports] of [sender] into the local records. */
    public fun merge(sender: InstanceId, reports: List<FingerprintReport>) {
        reports.forEach { report -> inShard(report.fingerprint) { records -> merge(records, sender, report) } }
    }

    /** Returns the reports to send to other entries. */
    public fun reports(): List<FingerprintReport> = shards.flatMap { shard ->
        synchronized(shard) {
            shard.records.values.removeIf(::isExpired)
            shard.records
                .filterValues { it.holder == own || it.crashes >= QUARANTINE_CRASHES }
                .map { (fingerprint, record) ->
                    FingerprintReport(fingerprint, record.crashes, record.changedAt.elapsedNow(), record.lastRunner)
                }
        }
    }

    /** Number of quarantined fingerprints. */
    public val quarantinedCount: Int
        get() = shards.sumOf { shard ->
            synchronized(shard) {
                shard.records.values.count { it.crashes >= QUARANTINE_CRASHES && !isExpired(it) }
            }
        }

    private fun merge(records: MutableMap<RequestFingerprint, Record>, sender: InstanceId, report: FingerprintReport) {
        val known = records[report.fingerprint]?.takeUnless(::isExpired)
        val changedAt = timeSource.markNow() - report.age
        when {
            known == null ->
                records[report.fingerprint] =
                    Record(report.crashes, changedAt, sender).apply { lastRunner = report.runner }

            known.crashes >= QUARANTINE_CRASHES -> Unit

            report.crashes >= QUARANTINE_CRASHES -> {
                known.crashes = report.crashes
                known.changedAt = changedAt
            }

            isAnotherCrash(known, report) -> {
                known.crashes = QUARANTINE_CRASHES
                known.changedAt = maxOf(known.changedAt, changedAt)
            }

            report.crashes == 0 || known.crashes == 0 -> if (changedAt >
                known.changedAt
            ) {
                replace(known, report, changedAt, sender)
            }

            known.holder == own && sender.value < own.value && !known.isRunning -> known.holder = sender
        }
    }

    /** Whether [report] and [known] both name the runner that crashed and name different ones. */
    private fun isAnotherCrash(known: Record, report: FingerprintReport): Boolean {
        val areRunnersNamed = known.lastRunner != null && report.runner != null
        return known.crashes > 0 && report.crashes > 0 && areRunnersNamed && known.lastRunner != report.runner
    }

    private fun replace(known: Record, report: FingerprintReport, changedAt: ComparableTimeMark, sender: InstanceId) {
        known.crashes = report.crashes
        known.changedAt = changedAt
        known.holder = sender
        known.lastRunner = report.runner
    }

    /** Whether [record] already counts the loss of [runner]; the report of a peer may not name its runner. */
    private fun isSameCrash(record: Record, runner: RunnerId): Boolean =
        (record.lastRunner == null || record.lastRunner == runner) &&
            record.changedAt.elapsedNow() < times.sameCrashWindow

    private fun isHeldElsewhere(record: Record): Boolean =
        record.holder != own && record.changedAt.elapsedNow() < times.suspectFor

    private fun isExpired(record: Record): Boolean = record.changedAt.elapsedNow() >= when (record.crashes) {
        0 -> times.clearedFor
        1 -> times.suspectFor * SUSPECT_RETENTION_FACTOR
        else -> times.quarantinedFor
    }

    private fun <T> inShard(
        fingerprint: RequestFingerprint,
        action: (MutableMap<RequestFingerprint, Record>) -> T,
    ): T {
        val shard = shards[fingerprint.value.hashCode().mod(SHARD_COUNT)]
        return synchronized(shard) { action(shard.records) }
    }

    private companion object {
        const val SHARD_COUNT = 16
        const val QUARANTINE_CRASHES = 2
        const val SUSPECT_RETENTION_FACTOR = 5
    }
}
