package io.quetzalfield.support

import org.apache.logging.log4j.LogManager
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

/** Waits for the signal that ends the process, then closes [program] and lets the process exit. */
public fun awaitTermination(program: AutoCloseable) {
    val isStopped = CountDownLatch(1)
    val hook = thread(start = false, name = "shutdown") {
        program.close()
        LogManager.shutdown()
        isStopped.countDown()
    }
    Runtime.getRuntime().addShutdownHook(hook)
    isStopped.await()
}
