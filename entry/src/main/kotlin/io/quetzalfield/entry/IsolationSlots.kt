package io.quetzalfield.entry

import io.quetzalfield.decision.RunnerView
import io.quetzalfield.model.RunnerId
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration

/** Keeps suspects of crashes apart: a runner has at most one of this entry's suspects at a time. */
internal class IsolationSlots {
    private val lock = ReentrantLock()
    private val released = lock.newCondition()
    private val occupied = mutableSetOf<RunnerId>()

    /** The runners on which a suspect runs, which other requests should avoid. */
    val occupiedRunners: Set<RunnerId> get() = lock.withLock { occupied.toSet() }

    /**
     * Takes the runner that [choose] names apart from the occupied ones; waits at most [timeout] for one to be
     * released. `null` when there is none.
     */
    fun acquire(timeout: Duration, choose: (occupied: Set<RunnerId>) -> RunnerView?): RunnerView? = lock.withLock {
        var left = timeout.inWholeNanoseconds
        var chosen = choose(occupied)
        while (chosen == null && occupied.isNotEmpty() && left > 0) {
            left = released.awaitNanos(left)
            chosen = choose(occupied)
        }
        chosen?.also { occupied += it.id }
    }

    /** Releases [runner]. */
    fun release(runner: RunnerId): Unit = lock.withLock {
        occupied -= runner
        released.signalAll()
    }
}
