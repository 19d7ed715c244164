package io.quetzalfield.forwarding

import io.netty.channel.EventLoop
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Runs [task] after [delay], at once when it is negative. */
internal fun EventLoop.schedule(delay: Duration, task: () -> Unit): ScheduledFuture<*> =
    schedule(task, delay.inWholeMilliseconds.coerceAtLeast(0), TimeUnit.MILLISECONDS)

/** Runs [task] again and again, [period] after the end of the run before; first after [period]. */
internal fun EventLoop.repeatEvery(period: Duration, task: () -> Unit) {
    val delay = period.inWholeMilliseconds
    scheduleWithFixedDelay(surviving(task), delay, delay, TimeUnit.MILLISECONDS)
}

/** [task] with its errors logged: an error that leaves a periodic task would end its repetition. */
@Suppress("TooGenericExceptionCaught") // Whatever fails once must not end the repetition.
internal fun surviving(task: () -> Unit): Runnable = Runnable {
    try {
        task()
    } catch (error: RuntimeException) {
        DecisionLog.write("periodic_task_failed", "reason" to error)
    }
}
