package io.quetzalfield.replay

import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.TestTimeSource
import kotlin.time.TimeSource

/** Runs actions in order of their time on a paused clock. */
internal class EventLoop {
    private class Scheduled(val at: Duration, val sequence: Long, val action: () -> Unit)

    private val clock = TestTimeSource()
    private val queue = PriorityQueue(compareBy<Scheduled>({ it.at }, { it.sequence }))
    private var nextSequence = 0L

    /** Time since the start. */
    var now: Duration = Duration.ZERO
        private set

    val timeSource: TimeSource.WithComparableMarks get() = clock

    /** Runs [action] at the time [at], or now if that is past; actions of the same time run in the order given. */
    fun schedule(at: Duration, action: () -> Unit) {
        queue += Scheduled(maxOf(at, now), nextSequence++, action)
    }

    /** Runs everything that is scheduled, and what that schedules. */
    fun run() {
        while (true) {
            val next = queue.poll() ?: return
            clock += next.at - now
            now = next.at
            next.action()
        }
    }
}
