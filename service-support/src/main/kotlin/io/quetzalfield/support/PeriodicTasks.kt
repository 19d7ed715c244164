package io.quetzalfield.support

import org.apache.logging.log4j.LogManager
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

private const val SCHEDULER_THREADS = 4
private val logger = LogManager.getLogger("io.quetzalfield.support.PeriodicTasks")

/** A scheduler for periodic tasks whose threads do not keep the process alive. */
public fun newScheduler(name: String): ScheduledExecutorService =
    Executors.newScheduledThreadPool(SCHEDULER_THREADS) { task ->
        Thread(task, "$name-scheduler").apply { isDaemon = true }
    }

/** Runs [action] again and again, [period] after it has ended; a failure is logged and does not end the repetition. */
public fun ScheduledExecutorService.every(period: Duration, action: () -> Unit) {
    val guarded = Runnable {
        @Suppress("TooGenericExceptionCaught") // Whatever fails once must not end the repetition.
        try {
            action()
        } catch (error: RuntimeException) {
            logger.error("a periodic task failed", error)
        }
    }
    scheduleWithFixedDelay(guarded, 0, period.inWholeMilliseconds, TimeUnit.MILLISECONDS)
}
