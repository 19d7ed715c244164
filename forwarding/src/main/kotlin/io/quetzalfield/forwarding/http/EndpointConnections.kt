package io.quetzalfield.forwarding.http

import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioChannelOption
import io.quetzalfield.forwarding.UnexpectedBytes
import io.quetzalfield.forwarding.schedule
import io.quetzalfield.model.HostPort
import jdk.net.ExtendedSocketOptions
import java.net.ConnectException
import java.net.SocketException
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Why there is no connection to an endpoint. The request has not been sent. */
public enum class ConnectFailure { REFUSED, TIMED_OUT, LIMIT_REACHED }

/** What the connections of this instance to an endpoint show: how many [broken] at one moment, how many are [open]. */
internal data class ConnectionTrace(val broken: Int, val open: Int)

/** A pool of connections to endpoints, by address. Used on the event loop only. */
public class EndpointConnections(
    private val eventLoop: EventLoop,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val onOpened: () -> Unit = {},
    private val onUnexpectedBytes: (UnexpectedBytes) -> Unit = {},
) {
    private class Pool {
        val idle = ArrayDeque<EndpointConnection>()
        var open = 0

        /** Those of the [open] ones that the endpoint has accepted. */
        var established = 0

        /** Times at which connections broke that carried no request without an answer. */
        val breaks = ArrayDeque<ComparableTimeMark>()

        /** Connections that were opened before this number was last raised are not used again. */
        var generation = 0
    }

    private val pools = HashMap<HostPort, Pool>()
    private var openedConnections = 0L

    /**
     * Returns the connections of this instance to [address] that have ended around [at], apart from those that carried
     * a request without an answer, and those that are open.
     */
    internal fun traceOf(address: HostPort, at: ComparableTimeMark): ConnectionTrace {
        val pool = pools[address] ?: return ConnectionTrace(broken = 0, open = 0)
        return ConnectionTrace(pool.breaks.count { (it - at).absoluteValue < AtOnce }, pool.established)
    }

    private fun recordBreak(pool: Pool) {
        pool.breaks.addLast(timeSource.markNow())
        if (pool.breaks.size > LATEST_BREAKS) pool.breaks.removeFirst()
    }

    /**
     * Calls [onReady] with a connection to [address]: the most recently used idle one or a new one.
     *
     * @param limit maximum number of connections of this instance to the address.
     * @param idleFraction fraction of the endpoint's idle timeout up to which an idle connection is reused.
     * @param excluded idle connections that are not reused.
     */
    public fun acquire(
        address: HostPort,
        limit: Int,
        idleFraction: Double,
        excluded: Set<EndpointConnection> = emptySet(),
        onFailure: (ConnectFailure) -> Unit,
        onReady: (EndpointConnection) -> Unit,
    ) {
        val pool = pools.getOrPut(address, ::Pool)
        val idle = pool.takeIdle(idleFraction, excluded)
        when {
            idle != null -> onReady(idle)
            pool.open >= limit && !pool.closeIdle(excluded) -> onFailure(ConnectFailure.LIMIT_REACHED)
            else -> open(address, pool, onFailure, onReady)
        }
    }

    /** Returns a [connection] that was acquired and on which nothing was sent. */
    public fun release(connection: EndpointConnection) {
        if (connection.channel.isActive) keep(connection)
    }

    /**
     * Closes the connections to [address], those that carry a request after its response, as the process there will
     * end. Connections that are opened from now on may be to another process.
     */
    public fun retire(address: HostPort) {
        val pool = pools[address] ?: return
        pool.generation++
        val idle = pool.idle.toList()
        pool.idle.clear()
        idle.forEach(EndpointConnection::abandon)
    }

    private fun keep(connection: EndpointConnection) {
        val pool = pools.getValue(connection.address)
        if (connection.generation == pool.generation) pool.idle.addLast(connection) else connection.abandon()
    }

    /**
     * Connects to [address] and calls [onResult] with the failure, or with `null` if it accepts the connection, which
     * is kept for later requests.
     *
     * @param staysOpenFor how long the connection must stay open to count as accepted. The operating system may take
     * connections to a process that ends until it closes the listening socket, which resets them.
     */
    public fun probe(address: HostPort, staysOpenFor: Duration = Duration.ZERO, onResult: (ConnectFailure?) -> Unit) {
        val pool = pools.getOrPut(address, ::Pool)
        open(address, pool, onFailure = onResult) { connection ->
            if (staysOpenFor > Duration.ZERO) {
                eventLoop.schedule(staysOpenFor) { onResult(keepIfOpen(connection)) }
            } else {
                keep(connection)
                onResult(null)
            }
        }
    }

    private fun keepIfOpen(connection: EndpointConnection): ConnectFailure? {
        if (!connection.channel.isActive) return ConnectFailure.REFUSED
        keep(connection)
        return null
    }

    private fun Pool.takeIdle(idleFraction: Double, excluded: Set<EndpointConnection>): EndpointConnection? {
        val now = timeSource.markNow()
        while (true) {
            val connection = idle.lastOrNull { it !in excluded } ?: return null
            idle.remove(connection)
            val isFresh = now - connection.idleSince < connection.keepAlive * idleFraction
            if (isFresh && connection.channel.isActive) return connection
            connection.abandon()
        }
    }

    /** Closes one of the idle connections in [excluded], to make room for a new one; `false` if there is none. */
    private fun Pool.closeIdle(excluded: Set<EndpointConnection>): Boolean {
        val connection = idle.firstOrNull { it in excluded } ?: return false
        idle.remove(connection)
        connection.abandon()
        return true
    }

    private fun open(
        address: HostPort,
        pool: Pool,
        onFailure: (ConnectFailure) -> Unit,
        onReady: (EndpointConnection) -> Unit,
    ) {
        pool.open++
        val connection = EndpointConnection(
            address,
            timeSource,
            onClosed = { closed -> remove(pool, closed) },
            onIdle = ::keep,
            onBrokenUnasked = { recordBreak(pool) },
            onUnexpectedBytes = onUnexpectedBytes,
            number = ++openedConnections,
            generation = pool.generation,
        )
        bootstrap(connection).connect(address.host, address.port).addListener { future ->
            if (future.isSuccess) {
                pool.established++
                onOpened()
                onReady(connection)
            } else {
                pool.open--
                (future as? ChannelFuture)?.channel()?.close()
                onFailure(failureOf(future.cause()))
            }
        }
    }

    private fun failureOf(cause: Throwable?): ConnectFailure = when {
        cause is ConnectException && cause !is ConnectTimeoutException -> ConnectFailure.REFUSED

        // The listening socket was closed while the connection waited there. The JDK has no exception for it.
        cause is SocketException && cause.message.orEmpty().contains("reset") -> ConnectFailure.REFUSED

        else -> ConnectFailure.TIMED_OUT
    }

    private fun remove(pool: Pool, closed: EndpointConnection) {
        pool.open--
        pool.established--
        pool.idle.remove(closed)
    }

    private fun bootstrap(connection: EndpointConnection): Bootstrap = Bootstrap()
        .group(eventLoop)
        .channelFactory(::EndpointChannel)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, ConnectTimeout.inWholeMilliseconds.toInt())
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBES)
        .handler(connection.initializer)

    private companion object {
        /** Time within which the connections of a process break that ends, and its reports by others deviate. */
        val AtOnce: Duration = 200.milliseconds

        /** Breaks that are kept for an address; more than a moment's are not needed to tell an end. */
        const val LATEST_BREAKS = 16

        /** Several round trips between failure domains, but less than the retransmission of a lost packet takes. */
        val ConnectTimeout: Duration = 400.milliseconds

        /** The shortest that the operating system allows; a dead connection is detected within three such intervals. */
        const val KEEPALIVE_SECONDS = 1
        const val KEEPALIVE_PROBES = 2
    }
}
