package io.quetzalfield.forwarding

import io.netty.channel.EventLoop
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Runs [task] after [delay], or at once if the delay is negative. */
internal fun EventLoop.schedule(delay: Duration, task: () -> Unit): ScheduledFuture<*> =
    schedule(task, delay.inWholeMilliseconds.coerceAtLeast(0), TimeUnit.MILLISECONDS)

/** Runs [task] repeatedly: first after [period], then [period] after the end of each run. */
internal fun EventLoop.repeatEvery(period: Duration, task: () -> Unit) {
    val delay = period.inWholeMilliseconds
    scheduleWithFixedDelay(loggingErrors(task), delay, delay, TimeUnit.MILLISECONDS)
}

/** Returns [task] with its exceptions logged: an exception thrown by a periodic task would end its repetition. */
@Suppress("TooGenericExceptionCaught") // No exception may end the repetition.
internal fun loggingErrors(task: () -> Unit): Runnable = Runnable {
    try {
        task()
    } catch (error: RuntimeException) {
        DecisionLog.write("periodic_task_failed", "reason" to error)
    }
}
