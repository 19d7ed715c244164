package io.quetzalfield.history

import java.util.concurrent.ConcurrentLinkedQueue

/** Collects events from many threads. */
public class HistoryRecorder(
    private val header: HistoryHeader = HistoryHeader(),
    private val now: () -> Long = System::currentTimeMillis,
) {
    private val events = ConcurrentLinkedQueue<HistoryEvent>()

    /** Records the event that [build] makes for the present time. */
    public fun record(build: (HistoryTime) -> HistoryEvent) {
        events += build(HistoryTime(now()))
    }

    /** All that was recorded so far. */
    public fun history(): History = History(header, events.toList())
}
