package io.quetzalfield.support

import io.javalin.Javalin
import io.javalin.compression.CompressionStrategy
import io.javalin.config.RoutesConfig
import org.eclipse.jetty.util.thread.QueuedThreadPool

private const val DEFAULT_THREADS = 1_024
private const val MINIMUM_THREADS = 16
private const val DEFAULT_LARGEST_BODY_BYTES = 4L * 1024 * 1024

/**
 * Starts a Javalin server at [host] and [port]; port 0 takes a free one.
 *
 * @param largestBody bytes above which a request body is refused with status 413.
 */
public fun startHttpServer(
    host: String,
    port: Int,
    largestBody: Long = DEFAULT_LARGEST_BODY_BYTES,
    threads: Int = DEFAULT_THREADS,
    routes: RoutesConfig.() -> Unit,
): Javalin = Javalin.create { config ->
    config.startup.showJavalinBanner = false
    config.startup.showOldJavalinVersionWarning = false
    config.startup.startupWatcherEnabled = false
    config.http.compressionStrategy = CompressionStrategy.NONE
    config.http.maxRequestSize = largestBody
    config.jetty.threadPool = QueuedThreadPool(threads, MINIMUM_THREADS)
    config.jetty.modifyServer { it.stopTimeout = 0 }
    config.routes.routes()
}.start(host, port)
