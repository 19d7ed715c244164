package io.quetzalfield.steward.rollouts

import io.quetzalfield.decision.Rollout
import io.quetzalfield.decision.RolloutObservations
import io.quetzalfield.decision.RolloutProgress
import io.quetzalfield.store.KeyValueStore
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.StoredValue
import kotlinx.serialization.SerializationException
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds

/** Stores the progress of roll-outs in the platform's key-value service. */
internal class RolloutRecords(private val store: KeyValueStore, private val clock: Clock) {
    /**
     * The progress of [rollout]; `null` if the store does not respond. A record of another share belongs to an earlier
     * step: the current step begins now.
     */
    fun progress(rollout: Rollout, observed: RolloutObservations): RolloutProgress? {
        val stored = store.read(keyOf(rollout)).fold({ return null }, { it })
        val record = stored?.toRecord()?.takeIf { it.share == rollout.share }
            ?: begin(rollout, observed, stored?.modified ?: StoreRevision.Absent)
        val age = clock.now().toEpochMilliseconds() - record.startedAtEpochMilliseconds
        return RolloutProgress(rollout.share, age.milliseconds, ratedSince(record, observed))
    }

    /** The sums are reset when entries restart, so fewer ratings than at the start mean that all are new. */
    private fun ratedSince(record: RolloutRecord, observed: RolloutObservations): Long =
        if (observed.rated >= record.ratedAtStart) observed.rated - record.ratedAtStart else observed.rated

    private fun begin(rollout: Rollout, observed: RolloutObservations, expected: StoreRevision): RolloutRecord {
        val now = clock.now().toEpochMilliseconds()
        val record = RolloutRecord(rollout.version, rollout.share, now, observed.rated)
        val json = PlatformJson.encodeToString(RolloutRecord.serializer(), record)
        store.compareAndSwap(keyOf(rollout), expected, json)
        return record
    }

    private fun keyOf(rollout: Rollout): String = ROLLOUT_PREFIX + rollout.version

    private fun StoredValue.toRecord(): RolloutRecord? = try {
        PlatformJson.decodeFromString(RolloutRecord.serializer(), value)
    } catch (_: SerializationException) {
        null
    }
}
