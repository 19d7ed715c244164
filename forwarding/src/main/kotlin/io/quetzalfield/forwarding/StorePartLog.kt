package io.quetzalfield.forwarding

/** Logs when [part] of the store becomes unreachable and when it is reachable again, each once. */
public class StorePartLog(private val part: String) {
    private var isLost = false

    /** Called when the part could not be read, for [reason]. */
    @Synchronized
    public fun onLost(reason: String) {
        if (!isLost) DecisionLog.write("store_lost", "part" to part, "reason" to reason)
        isLost = true
    }

    /** Called when the part has been read. */
    @Synchronized
    public fun onRegained() {
        if (isLost) DecisionLog.write("store_regained", "part" to part)
        isLost = false
    }
}
