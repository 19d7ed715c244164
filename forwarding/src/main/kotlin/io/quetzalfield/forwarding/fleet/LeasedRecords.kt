package io.quetzalfield.forwarding.fleet

import arrow.core.getOrElse
import io.quetzalfield.forwarding.DecisionLog
import io.quetzalfield.store.KeyValueStore
import io.quetzalfield.store.LeaseId
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.SwapResult

/**
 * Records of this instance in the store that live as long as its membership. Used by one thread at a time.
 *
 * @param lease returns the lease of the membership; `null` while there is none, in which case nothing is written.
 */
internal class LeasedRecords(private val store: KeyValueStore, private val lease: () -> LeaseId?) {
    private data class Published(val content: Any, val lease: LeaseId)

    private val published = HashMap<String, Published>()
    private val revisions = HashMap<String, StoreRevision>()

    /** Whether a record was written under [key]. */
    fun isPublished(key: String): Boolean = key in published

    /** Whether a record was written under [key] with the lease that is current now. */
    fun isUnderCurrentLease(key: String): Boolean = published[key]?.let { it.lease == lease() } ?: false

    /**
     * Writes [content], as [encode] returns it, under [key] unless that was already done under the current lease.
     * Returns whether it is now written.
     */
    fun publish(key: String, content: Any, encode: () -> String): Boolean {
        val current = Published(content, lease() ?: return false)
        if (published[key] == current) return true
        val expected = revisions[key] ?: StoreRevision.Absent
        val result = store.compareAndSwap(key, expected, encode(), current.lease).getOrElse { error ->
            DecisionLog.write("record_not_written", "key" to key, "reason" to error.message)
            return false
        }
        when (result) {
            is SwapResult.Swapped -> {
                revisions[key] = result.stored
                published[key] = current
            }

            is SwapResult.Conflict -> revisions[key] = result.current?.modified ?: StoreRevision.Absent
        }
        return result is SwapResult.Swapped
    }
}
