package io.quetzalfield.forwarding

/** Tells the log once when [part] of the store is out of reach, and once when it is back. */
public class StorePartLog(private val part: String) {
    private var isLost = false

    /** The part could not be read, for [reason]. */
    @Synchronized
    public fun lost(reason: String) {
        if (!isLost) DecisionLog.write("store_lost", "part" to part, "reason" to reason)
        isLost = true
    }

    /** The part was read. */
    @Synchronized
    public fun regained() {
        if (isLost) DecisionLog.write("store_regained", "part" to part)
        isLost = false
    }
}
