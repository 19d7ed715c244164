package io.quetzalfield.entry

import io.quetzalfield.model.Incarnation
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.TimeSource

/**
 * The request keys that this entry knows to be billed, by itself or by an entry for which it is a witness. Keys are
 * kept for [retention] and at most [largestSize] of them; a repetition that comes later is billed anew.
 */
public class BilledKeys(
    retention: Duration = 10.minutes,
    largestSize: Int = 262_144,
    timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    /** Who billed a key; [owner] is `null` where only this is known: that it was not this entry. */
    private class Ownership(val owner: Incarnation?, val isPending: Boolean)

    private val owners = ExpiringMap<AccountKey, Ownership>(retention, largestSize, timeSource)

    /** Takes [key] for [owner], whose witness has not answered yet; `false` when the key is taken. */
    public fun begin(key: AccountKey, owner: Incarnation): Boolean = owners.access(key) { slot ->
        val isFree = slot.value == null
        if (isFree) slot.value = Ownership(owner, isPending = true)
        isFree
    }

    /**
     * Ends what [begin] began; `true` when the key still belongs to [owner]. The key stays billed in any case, as
     * another owner has it when [owner] does not.
     */
    public fun finish(key: AccountKey, owner: Incarnation): Boolean = owners.access(key) { slot ->
        val isOwned = slot.value == null || slot.value?.owner == owner
        if (isOwned) slot.value = Ownership(owner, isPending = false)
        isOwned
    }

    /** Says that the witness of [owner]'s bill for [key] is asked again and has not answered yet. */
    public fun resume(key: AccountKey, owner: Incarnation): Unit = owners.access(key) { slot ->
        if (slot.value?.owner == owner) slot.value = Ownership(owner, isPending = true)
    }

    /**
     * Leaves [key] to another that has billed it, so that the other is not told in turn that [owner] has. The key stays
     * billed.
     */
    public fun yieldTo(key: AccountKey, owner: Incarnation): Unit = owners.access(key) { slot ->
        if (slot.value?.owner == owner) slot.value = Ownership(owner = null, isPending = false)
    }

    /**
     * Takes [key] for [ended], whose bill was collected; `false` when another is known to have billed it. A bill whose
     * witness has not answered yet gives way: its owner has not told its caller that it is billed.
     */
    public fun learn(key: AccountKey, ended: Incarnation): Boolean = take(key, ended) { true }

    /**
     * Takes [key] for [sender], for which this entry is a witness; `false` when it is billed by another.
     *
     * Two entries that run the same key at once may be each other's witness. Then the lower incarnation has the key,
     * so that exactly one of them is told that it is billed already.
     */
    public fun witness(key: AccountKey, sender: Incarnation): Boolean = take(key, sender) { owner -> sender < owner }

    /** Takes [key] for [taker] unless another has it; one that has it pending gives way if [goesBefore] says so. */
    private fun take(key: AccountKey, taker: Incarnation, goesBefore: (Incarnation) -> Boolean): Boolean =
        owners.access(key) { slot ->
            val current = slot.value
            val owner = current?.owner
            val isFree = owner == null || owner == taker || (current.isPending && goesBefore(owner))
            if (isFree) slot.value = Ownership(taker, isPending = false)
            isFree
        }
}
