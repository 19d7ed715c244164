package io.quetzalfield.entry

import io.quetzalfield.decision.RunnerView
import io.quetzalfield.model.RunnerId
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration

/** Isolates crash suspects from each other: a runner has at most one of this entry's suspects at a time. */
internal class IsolationSlots {
    private val lock = ReentrantLock()
    private val released = lock.newCondition()
    private val occupied = mutableSetOf<RunnerId>()

    /** The runners on which a suspect is running; other requests should avoid them. */
    val occupiedRunners: Set<RunnerId> get() = lock.withLock { occupied.toSet() }

    /**
     * Reserves the runner that [choose] returns given the occupied ones. While it returns `null`, waits for a runner to
     * be released, at most for [timeout].
     *
     * @return `null` if no runner could be reserved.
     */
    fun acquire(timeout: Duration, choose: (occupied: Set<RunnerId>) -> RunnerView?): RunnerView? = lock.withLock {
        var remainingNanos = timeout.inWholeNanoseconds
        var chosen = choose(occupied)
        while (chosen == null && occupied.isNotEmpty() && remainingNanos > 0) {
            remainingNanos = released.awaitNanos(remainingNanos)
            chosen = choose(occupied)
        }
        chosen?.also { occupied += it.id }
    }

    /** Releases [runner] and wakes waiting callers of [acquire]. */
    fun release(runner: RunnerId): Unit = lock.withLock {
        occupied -= runner
        released.signalAll()
    }
}
