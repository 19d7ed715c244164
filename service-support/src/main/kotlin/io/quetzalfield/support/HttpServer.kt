package io.quetzalfield.support

import io.javalin.Javalin
import io.javalin.compression.CompressionStrategy
import io.javalin.config.RoutesConfig
import org.eclipse.jetty.server.AbstractConnector
import org.eclipse.jetty.server.handler.GracefulHandler
import org.eclipse.jetty.util.thread.QueuedThreadPool
import kotlin.time.Duration

private const val DEFAULT_THREADS = 1_024
private const val MIN_THREADS = 16
private const val SHUTDOWN_IDLE_TIMEOUT_MILLISECONDS = 100L
private const val DEFAULT_MAX_BODY_BYTES = 4L * 1024 * 1024

/**
 * Starts a Javalin server at [host] and [port]; port 0 selects a free one.
 *
 * @param stopTimeout longest time for which stopping the server waits for responses that are still being written.
 * @param largestBody largest request body in bytes; larger ones are refused with status 413.
 */
public fun startHttpServer(
    host: String,
    port: Int,
    stopTimeout: Duration = Duration.ZERO,
    largestBody: Long = DEFAULT_MAX_BODY_BYTES,
    threads: Int = DEFAULT_THREADS,
    routes: RoutesConfig.() -> Unit,
): Javalin = Javalin.create { config ->
    config.startup.showJavalinBanner = false
    config.startup.showOldJavalinVersionWarning = false
    config.startup.startupWatcherEnabled = false
    config.http.compressionStrategy = CompressionStrategy.NONE
    config.http.maxRequestSize = largestBody
    config.jetty.threadPool = QueuedThreadPool(threads, MIN_THREADS)
    config.jetty.modifyServer { server ->
        server.handler = GracefulHandler()
        server.stopTimeout = stopTimeout.inWholeMilliseconds
    }
    config.routes.routes()
}.start(host, port).apply {
    val connectors = jettyServer().server().connectors.filterIsInstance<AbstractConnector>()
    connectors.forEach { it.shutdownIdleTimeout = SHUTDOWN_IDLE_TIMEOUT_MILLISECONDS }
}
