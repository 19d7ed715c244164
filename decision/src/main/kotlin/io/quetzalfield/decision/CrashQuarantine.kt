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

/** The fingerprint of a request with this [content]: the same content has the same fingerprint at every entry. */
public fun fingerprintOf(content: String): RequestFingerprint {
    val digest = MessageDigest.getInstance("SHA-256").digest(content.encodeToByteArray())
    return RequestFingerprint(HexFormat.of().formatHex(digest, 0, FINGERPRINT_BYTES))
}

private const val FINGERPRINT_BYTES = 16

/** How a request with a fingerprint may run. */
public enum class CrashVerdict {
    /** Nothing speaks against it. */
    ORDINARY,

    /** A runner crashed while it ran. It may run once more at this entry, apart from other suspects. */
    ISOLATED,

    /** It is a suspect that runs, or is about to run, at another place. */
    BUSY_ELSEWHERE,

    /** It has crashed runners and does not run again. */
    QUARANTINED,
}

/**
 * What entries tell one another of a fingerprint.
 *
 * @property crashes 0 when it was cleared, 1 for a suspect that the sender handles, 2 for a quarantined one.
 * @property age time since the last crash.
 * @property runner the runner that crashed last, as far as it is told.
 */
public data class FingerprintReport(
    val fingerprint: RequestFingerprint,
    val crashes: Int,
    val age: Duration,
    val runner: RunnerId? = null,
)

/**
 * How long fingerprints are remembered.
 *
 * @property suspectFor time after which a suspect that no one cleared or convicted is tried again as a suspect here.
 * @property clearedFor time for which a clearance is passed on.
 * @property quarantinedFor time for which a fingerprint stays refused.
 * @property sameCrash time within which losses of one runner, or one that a peer reports beside an own one, count as
 * one crash.
 */
public data class QuarantineTimes(
    val suspectFor: Duration = 2.minutes,
    val clearedFor: Duration = 1.minutes,
    val quarantinedFor: Duration = 60.minutes,
    val sameCrash: Duration = 5.seconds,
)

/**
 * Recognises requests that crash the runners that run them.
 *
 * A request in flight when its runner crashes is a suspect. A suspect runs once more, at one entry at a time and not
 * beside another suspect: when that runner crashes too, the fingerprint is quarantined at every entry; when the
 * request gets its answer, it is cleared. So a fingerprint costs two runners at most, as long as its copies do not run
 * before the first crash is known, and requests that shared a runner with it get through.
 *
 * @param own this entry; where two entries suspect a fingerprint at once, the one with the lower id runs it.
 */
public class CrashQuarantine(
    private val own: InstanceId,
    private val times: QuarantineTimes = QuarantineTimes(),
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private class Record(var crashes: Int, var changed: ComparableTimeMark, var holder: InstanceId) {
        var lastRunner: RunnerId? = null
        var isRunning = false
    }

    private class Shard {
        val records = HashMap<RequestFingerprint, Record>()
    }

    private val shards = List(SHARD_COUNT) { Shard() }

    /**
     * Says how a request with [fingerprint] may run. After [CrashVerdict.ISOLATED] the fingerprint is taken as
     * running here, until [noteCrash], [noteAnswer] or [noteGivenUp].
     */
    public fun begin(fingerprint: RequestFingerprint): CrashVerdict = inShard(fingerprint) { records ->
        val record = records[fingerprint]?.takeUnless(::isForgotten)
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

    /** Whether any fingerprint is suspected, refused or was cleared lately. */
    public val hasSuspects: Boolean get() = shards.any { shard -> synchronized(shard) { shard.records.isNotEmpty() } }

    /**
     * Whether a request with [fingerprint] is refused. For callers that do not isolate suspects: where many requests
     * share a runner, holding back all that were there when it crashed would cost more than a second crash does.
     */
    public fun isQuarantined(fingerprint: RequestFingerprint): Boolean = inShard(fingerprint) { records ->
        val record = records[fingerprint]
        record != null && record.crashes >= QUARANTINE_CRASHES && !isForgotten(record)
    }

    /** Notes that [runner] crashed while the request ran there. */
    public fun noteCrash(fingerprint: RequestFingerprint, runner: RunnerId): Unit = inShard(fingerprint) { records ->
        val record = records[fingerprint]?.takeUnless(::isForgotten)
            ?: Record(0, timeSource.markNow(), own).also { records[fingerprint] = it }
        val isSameCrash = isSameCrash(record, runner)
        if (!isSameCrash || record.crashes == 0) record.crashes++
        record.holder = if (isSameCrash) minOf(record.holder, own, compareBy(InstanceId::value)) else own
        record.changed = timeSource.markNow()
        record.lastRunner = runner
        record.isRunning = false
    }

    /** Notes that the request got its whole answer, which clears a suspect. */
    public fun noteAnswer(fingerprint: RequestFingerprint): Unit = inShard(fingerprint) { records ->
        val record = records[fingerprint] ?: return@inShard
        if (record.crashes >= QUARANTINE_CRASHES || record.crashes == 0) return@inShard
        record.crashes = 0
        record.changed = timeSource.markNow()
        record.holder = own
        record.isRunning = false
    }

    /** Notes that an isolated run ended with neither an answer nor a crash; it may be repeated. */
    public fun noteGivenUp(fingerprint: RequestFingerprint): Unit = inShard(fingerprint) { records ->
        records[fingerprint]?.isRunning = false
    }

    /** Takes over what [sender] reports. */
    public fun learn(sender: InstanceId, reports: List<FingerprintReport>) {
        reports.forEach { report -> inShard(report.fingerprint) { records -> learn(records, sender, report) } }
    }

    /** What other entries should know. */
    public fun reports(): List<FingerprintReport> = shards.flatMap { shard ->
        synchronized(shard) {
            shard.records.values.removeIf(::isForgotten)
            shard.records
                .filterValues { it.holder == own || it.crashes >= QUARANTINE_CRASHES }
                .map { (fingerprint, record) ->
                    FingerprintReport(fingerprint, record.crashes, record.changed.elapsedNow(), record.lastRunner)
                }
        }
    }

    /** How many fingerprints are refused. */
    public val quarantinedCount: Int
        get() = shards.sumOf { shard ->
            synchronized(shard) {
                shard.records.values.count { it.crashes >= QUARANTINE_CRASHES && !isForgotten(it) }
            }
        }

    private fun learn(records: MutableMap<RequestFingerprint, Record>, sender: InstanceId, report: FingerprintReport) {
        val known = records[report.fingerprint]?.takeUnless(::isForgotten)
        val changed = timeSource.markNow() - report.age
        when {
            known == null ->
                records[report.fingerprint] =
                    Record(report.crashes, changed, sender).apply { lastRunner = report.runner }

            known.crashes >= QUARANTINE_CRASHES -> Unit

            report.crashes >= QUARANTINE_CRASHES -> {
                known.crashes = report.crashes
                known.changed = changed
            }

            isAnotherCrash(known, report) -> {
                known.crashes = QUARANTINE_CRASHES
                known.changed = maxOf(known.changed, changed)
            }

            report.crashes == 0 || known.crashes == 0 -> if (changed >
                known.changed
            ) {
                replace(known, report, changed, sender)
            }

            known.holder == own && sender.value < own.value && !known.isRunning -> known.holder = sender
        }
    }

    /** Whether [report] tells of the crash of another runner than [known] does; both must name theirs. */
    private fun isAnotherCrash(known: Record, report: FingerprintReport): Boolean {
        val areNamed = known.lastRunner != null && report.runner != null
        return known.crashes > 0 && report.crashes > 0 && areNamed && known.lastRunner != report.runner
    }

    private fun replace(known: Record, report: FingerprintReport, changed: ComparableTimeMark, sender: InstanceId) {
        known.crashes = report.crashes
        known.changed = changed
        known.holder = sender
        known.lastRunner = report.runner
    }

    /** Whether [record] counts the loss of [runner] already; a peer's report does not name the runner. */
    private fun isSameCrash(record: Record, runner: RunnerId): Boolean =
        (record.lastRunner == null || record.lastRunner == runner) && record.changed.elapsedNow() < times.sameCrash

    private fun isHeldElsewhere(record: Record): Boolean =
        record.holder != own && record.changed.elapsedNow() < times.suspectFor

    private fun isForgotten(record: Record): Boolean = record.changed.elapsedNow() >= when (record.crashes) {
        0 -> times.clearedFor
        1 -> times.suspectFor * SUSPECT_MEMORY
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
        const val SUSPECT_MEMORY = 5
    }
}
