package io.quetzalfield.entry

import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration

/** Counts running requests; once closed, admits no new ones. */
public class ShutdownGate {
    private val lock = ReentrantLock()
    private val drained = lock.newCondition()
    private var running = 0

    /** Whether new requests are refused. */
    @Volatile
    public var isClosed: Boolean = false
        private set

    /** The number of running requests. */
    public val runningRequests: Int get() = lock.withLock { running }

    /** Runs [action] and counts it as a running request; returns `null` without running it if the gate is closed. */
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

    /** Closes the gate: new requests are refused from now on. */
    public fun close() {
        lock.withLock { isClosed = true }
    }

    /** Waits up to [timeout] until no request is running; returns whether none is running. */
    public fun awaitDrained(timeout: Duration): Boolean = lock.withLock {
        var left = timeout.inWholeNanoseconds
        while (running > 0 && left > 0) left = drained.awaitNanos(left)
        running == 0
    }

    /** Blocks for [duration] without closing the gate. */
    public fun pause(duration: Duration) {
        TimeUnit.MILLISECONDS.sleep(duration.inWholeMilliseconds)
    }
}
