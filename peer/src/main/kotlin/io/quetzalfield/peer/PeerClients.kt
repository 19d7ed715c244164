package io.quetzalfield.peer

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.grpc.ManagedChannel
import io.grpc.Status
import io.grpc.StatusRuntimeException
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder
import io.grpc.netty.shaded.io.netty.channel.ChannelOption
import io.quetzalfield.peer.wire.PeerGrpc
import java.net.ConnectException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Time between keep-alive pings on a connection with a running call; a server permits them this often. */
internal const val KEEP_ALIVE_SECONDS: Long = 10

/** Why a call to a peer returned no result. */
public sealed interface PeerError {
    public val message: String

    /** The call did not reach the peer. */
    public data class Unreachable(override val message: String) : PeerError

    /** The call may have reached the peer; its response is lost or late. */
    public data class OutcomeUnknown(override val message: String) : PeerError

    /** The peer responded with an error. */
    public data class Rejected(override val message: String) : PeerError
}

/** Channels to peers by address, opened on first use and kept open. */
public class PeerClients : AutoCloseable {
    private val channels = ConcurrentHashMap<String, ManagedChannel>()

    /** Calls the peer at [address] (`host:port`), with a deadline after [timeout]. */
    public fun <T> call(
        address: String,
        timeout: Duration,
        action: (PeerGrpc.PeerBlockingStub) -> T,
    ): Either<PeerError, T> = try {
        action(stub(address, timeout)).right()
    } catch (error: StatusRuntimeException) {
        error.toPeerError().left()
    }

    private fun stub(address: String, timeout: Duration): PeerGrpc.PeerBlockingStub =
        PeerGrpc.newBlockingStub(channels.computeIfAbsent(address, ::openChannel))
            .withDeadlineAfter(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)

    private fun openChannel(address: String): ManagedChannel = NettyChannelBuilder.forTarget("dns:///$address")
        .usePlaintext()
        .disableRetry()
        .withOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
        .keepAliveTime(KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
        .keepAliveTimeout(KEEP_ALIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .build()

    /** Closes channels to addresses that are not in [addresses]. */
    public fun retain(addresses: Set<String>) {
        channels.keys.filterNot(addresses::contains).forEach { channels.remove(it)?.shutdown() }
    }

    override fun close() {
        channels.values.forEach(ManagedChannel::shutdownNow)
        channels.clear()
    }

    private companion object {
        const val CONNECT_TIMEOUT_MILLISECONDS = 1_000
        const val KEEP_ALIVE_TIMEOUT_SECONDS = 2L
    }
}

private fun StatusRuntimeException.toPeerError(): PeerError = when (status.code) {
    Status.Code.UNAVAILABLE ->
        if (isConnectFailure) PeerError.Unreachable("$status") else PeerError.OutcomeUnknown("$status")

    Status.Code.DEADLINE_EXCEEDED, Status.Code.CANCELLED -> PeerError.OutcomeUnknown("$status")

    else -> PeerError.Rejected("$status")
}

/** Whether no connection was established, so that the peer cannot have received the call. */
private val StatusRuntimeException.isConnectFailure: Boolean
    get() = generateSequence(status.cause) { it.cause }.any { it is ConnectException }
