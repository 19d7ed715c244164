package io.quetzalfield.peer

import io.grpc.BindableService
import io.grpc.Server
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder
import java.net.InetSocketAddress
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Serves the peer protocol at an address. */
public class PeerServer(host: String, port: Int, service: BindableService) : AutoCloseable {
    private val executor: ExecutorService = Executors.newCachedThreadPool { task ->
        Thread(task, "peer-server").apply { isDaemon = true }
    }
    private val server: Server = NettyServerBuilder.forAddress(InetSocketAddress(host, port))
        .executor(executor)
        .permitKeepAliveTime(KEEP_ALIVE_SECONDS / 2, TimeUnit.SECONDS)
        .addService(service)
        .build()
        .start()

    /** The port on which the server listens. */
    public val port: Int get() = server.port

    override fun close() {
        server.shutdown()
        if (!server.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) server.shutdownNow()
        executor.shutdown()
    }

    private companion object {
        const val STOP_TIMEOUT_SECONDS = 2L
    }
}
