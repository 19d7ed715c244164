package io.quetzalfield.forwarding.fleet

import arrow.core.getOrElse
import io.quetzalfield.forwarding.DecisionLog
import io.quetzalfield.forwarding.UNREADABLE_RECORD
import io.quetzalfield.forwarding.choice.HeldSessions
import io.quetzalfield.forwarding.choice.SessionHolds
import io.quetzalfield.forwarding.decodeOrLog
import io.quetzalfield.store.KeyValueError
import io.quetzalfield.store.KeyValueStore
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.StoredValue
import io.quetzalfield.store.SwapResult

/**
 * Keeps in the store which sessions stay on the previous version during a roll-out, one record for each service, so
 * that an instance that starts knows them even if all instances have been restarted meanwhile. Instances add to the
 * record; the record of an older order is replaced.
 *
 * Load pattern: the instance that takes the first step knows the sessions of nearly all instances and stores them at
 * once, so that the others seldom have anything to add, whatever their number.
 */
internal class HoldRecords(private val store: KeyValueStore) {
    /** Adds [held] to the records; what could not be written is to be passed again. */
    @Synchronized
    fun add(held: List<HeldSessions>): Unit = held.forEach(::add)

    private fun add(held: HeldSessions) {
        val key = FleetKeys.holds(held.service)
        var stored = store.read(key).getOrElse { return logFailure(key, it) }
        repeat(WRITE_ATTEMPTS) {
            val merged = merge(stored, held) ?: return
            val json = PlatformJson.encodeToString(HeldSessions.serializer(), merged)
            val result = store.compareAndSwap(key, stored?.modified ?: StoreRevision.Absent, json)
                .getOrElse { return logFailure(key, it) }
            when (result) {
                is SwapResult.Swapped -> return logStored(merged)
                is SwapResult.Conflict -> stored = result.current
            }
        }
    }

    /** Returns [stored] with [added]; `null` if it holds them already or belongs to a later order. */
    private fun merge(stored: StoredValue?, added: HeldSessions): HeldSessions? {
        val current = stored?.decodeOrLog(HeldSessions.serializer(), UNREADABLE_RECORD)
        if (current == null || current.orderRevision < added.orderRevision) return added
        val sessions = (current.sessions + added.sessions).distinct().take(SessionHolds.MAXIMUM_STORED)
        val isKnown = current.orderRevision > added.orderRevision || sessions.size == current.sessions.size
        return if (isKnown) null else current.copy(sessions = sessions)
    }

    private fun logStored(held: HeldSessions) = DecisionLog.write(
        "session_holds_stored",
        "service" to held.service.value,
        "revision" to held.orderRevision,
        "sessions" to held.sessions.size,
    )

    private fun logFailure(key: String, error: KeyValueError) =
        DecisionLog.write("record_not_written", "key" to key, "reason" to error.message)

    private companion object {
        /** Writes in a row when other instances write the record at the same time. */
        const val WRITE_ATTEMPTS = 4
    }
}
