package io.quetzalfield.entry

import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration

/** Counts running requests and, once closed, lets no new one in. */
public class ShutdownGate {
    private val lock = ReentrantLock()
    private val drained = lock.newCondition()
    private var running = 0

    /** Whether new requests are refused. */
    @Volatile
    public var isClosed: Boolean = false
        private set

    /** How many requests run now. */
    public val runningRequests: Int get() = lock.withLock { running }

    /** Runs [action] as a running request; `null` when the gate is closed. */
    public fun <T : Any> enter(action: () -> T): T? {
        lock.withLock {
            if (isClosed) return null
            running++
        }
        try {
            return action()
        } finally {
            lock.withLock {
                running--
                if (running == 0) drained.signalAll()
            }
        }
    }

    /** Refuses new requests from now on. */
    public fun close() {
        lock.withLock { isClosed = true }
    }

    /** Waits until no request runs, at most [timeout]; `true` when none runs. */
    public fun awaitDrained(timeout: Duration): Boolean = lock.withLock {
        var left = timeout.inWholeNanoseconds
        while (running > 0 && left > 0) left = drained.awaitNanos(left)
        running == 0
    }

    /** Waits [duration] for the drain of running requests without closing. */
    public fun pause(duration: Duration) {
        TimeUnit.MILLISECONDS.sleep(duration.inWholeMilliseconds)
    }
}
