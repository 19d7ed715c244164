package io.quetzalfield.entry

import io.quetzalfield.model.Incarnation
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.TimeSource

/**
 * The request keys that are known to be billed, by this entry or by an entry for which it is a witness. At most
 * [largestSize] keys are kept, each for [retention]; a later repetition is billed again.
 */
public class BilledKeys(
    retention: Duration = 10.minutes,
    largestSize: Int = 262_144,
    timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    /** The incarnation that billed a key; [owner] is `null` if it is only known that another entry did. */
    private class Ownership(val owner: Incarnation?, val isPending: Boolean)

    private val owners = ExpiringMap<AccountKey, Ownership>(retention, largestSize, timeSource)

    /** Reserves [key] for [owner], whose witness has not answered yet; returns `false` if the key is already known. */
    public fun begin(key: AccountKey, owner: Incarnation): Boolean = owners.access(key) { slot ->
        val isFree = slot.value == null
        if (isFree) slot.value = Ownership(owner, isPending = true)
        isFree
    }

    /**
     * Completes the reservation made by [begin] or [resume]; returns `true` if [owner] still owns the key. The key
     * counts as billed either way: if [owner] has lost it, another owner has billed it.
     */
    public fun finish(key: AccountKey, owner: Incarnation): Boolean = owners.access(key) { slot ->
        val isOwned = slot.value == null || slot.value?.owner == owner
        if (isOwned) slot.value = Ownership(owner, isPending = false)
        isOwned
    }

    /** Marks [owner]'s bill for [key] as pending again while its witness is asked again. */
    public fun resume(key: AccountKey, owner: Incarnation): Unit = owners.access(key) { slot ->
        if (slot.value?.owner == owner) slot.value = Ownership(owner, isPending = true)
    }

    /**
     * Gives up [owner]'s ownership of [key], which another entry has billed, so that the other entry is not refused the
     * key in turn. The key stays billed.
     */
    public fun relinquish(key: AccountKey, owner: Incarnation): Unit = owners.access(key) { slot ->
        if (slot.value?.owner == owner) slot.value = Ownership(owner = null, isPending = false)
    }

    /**
     * Assigns [key] to [ended], whose bill was collected; returns `false` if another owner is known to have billed it.
     * A pending bill of another owner loses the key: that owner has not yet told its caller that the answer is billed.
     */
    public fun learn(key: AccountKey, ended: Incarnation): Boolean = acquire(key, ended) { true }

    /**
     * Assigns [key] to [sender], for which this entry is a witness; returns `false` if another owner has billed it.
     *
     * Two entries that run the same key at once may be each other's witness. The lower incarnation then gets the key,
     * so that exactly one of the two is refused.
     */
    public fun witness(key: AccountKey, sender: Incarnation): Boolean = acquire(key, sender) { owner -> sender < owner }

    /**
     * Assigns [key] to [claimant] unless another incarnation owns it. An owner whose bill is pending loses the key if
     * [hasPrecedence] returns `true` for it.
     */
    private fun acquire(key: AccountKey, claimant: Incarnation, hasPrecedence: (Incarnation) -> Boolean): Boolean =
        owners.access(key) { slot ->
            val current = slot.value
            val owner = current?.owner
            val isFree = owner == null || owner == claimant || (current.isPending && hasPrecedence(owner))
            if (isFree) slot.value = Ownership(claimant, isPending = false)
            isFree
        }
}
