package io.quetzalfield.replay

import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.TestTimeSource
import kotlin.time.TimeSource

/** A discrete-event scheduler: runs actions in order of time and advances a simulated clock to each of them. */
internal class EventLoop {
    private class Scheduled(val at: Duration, val sequence: Long, val action: () -> Unit)

    private val clock = TestTimeSource()
    private val queue = PriorityQueue(compareBy<Scheduled>({ it.at }, { it.sequence }))
    private var nextSequence = 0L

    /** Simulated time since the start. */
    var now: Duration = Duration.ZERO
        private set

    val timeSource: TimeSource.WithComparableMarks get() = clock

    /** Schedules [action] for [at], or for now if that is past; actions of the same time run in order of scheduling. */
    fun schedule(at: Duration, action: () -> Unit) {
        queue += Scheduled(maxOf(at, now), nextSequence++, action)
    }

    /** Runs until no scheduled action is left. */
    fun run() {
        while (true) {
            val next = queue.poll() ?: return
            clock += next.at - now
            now = next.at
            next.action()
        }
    }
}
