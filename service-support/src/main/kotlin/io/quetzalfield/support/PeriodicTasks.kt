package io.quetzalfield.support

import org.apache.logging.log4j.LogManager
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

private const val SCHEDULER_THREADS = 4
private val logger = LogManager.getLogger("io.quetzalfield.support.PeriodicTasks")

/** Creates a scheduler for periodic tasks. Its threads do not keep the process alive. */
public fun newScheduler(name: String): ScheduledExecutorService =
    Executors.newScheduledThreadPool(SCHEDULER_THREADS) { task ->
        Thread(task, "$name-scheduler").apply { isDaemon = true }
    }

/** Runs [action] repeatedly, with a pause of [period] after each run. A failure does not stop the repetition. */
public fun ScheduledExecutorService.every(period: Duration, action: () -> Unit) {
    scheduleWithFixedDelay(GuardedTask(action, ::logChange), 0, period.inWholeMilliseconds, TimeUnit.MILLISECONDS)
}

/**
 * Runs [action] and catches its failures. Calls [onChange] on the first failure after a success, and with `null` on the
 * first success after a failure.
 */
internal class GuardedTask(private val action: () -> Unit, private val onChange: (RuntimeException?) -> Unit) :
    Runnable {
    private var isFailing = false

    override fun run() {
        @Suppress("TooGenericExceptionCaught") // No failure may stop the repetition.
        val error = try {
            action()
            null
        } catch (error: RuntimeException) {
            error
        }
        if ((error != null) != isFailing) onChange(error)
        isFailing = error != null
    }
}

private fun logChange(error: RuntimeException?) {
    if (error == null) logger.info("a periodic task works again") else logger.error("a periodic task fails", error)
}
