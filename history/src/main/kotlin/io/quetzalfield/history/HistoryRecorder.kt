package io.quetzalfield.history

import java.util.concurrent.ConcurrentLinkedQueue

/** Records events; safe for use by many threads. */
public class HistoryRecorder(
    private val header: HistoryHeader = HistoryHeader(),
    private val now: () -> Long = System::currentTimeMillis,
) {
    private val events = ConcurrentLinkedQueue<HistoryEvent>()

    /** Records the event that [build] creates for the current time. */
    public fun record(build: (HistoryTime) -> HistoryEvent) {
        events += build(HistoryTime(now()))
    }

    /** The history of all events recorded so far. */
    public fun history(): History = History(header, events.toList())
}
