package io.quetzalfield.forwarding.relay

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.quetzalfield.forwarding.DecisionLog
import io.quetzalfield.model.HostPort
import io.quetzalfield.store.StoreChange
import io.quetzalfield.store.StoredValue

/** The parts of the store that a [RelayServer] sends to other instances. */
internal interface RelayedParts {
    /** The values of each part that has been read completely, by prefix. */
    val states: Map<String, List<StoredValue>>

    /** How current each part is now. */
    fun freshness(): List<PartFreshness>
}

/** Sends this instance's copy of the store's keys to other instances. Used on [eventLoop] only. */
internal class RelayServer(private val eventLoop: EventLoop, private val parts: RelayedParts) {
    private val followers = LinkedHashSet<Channel>()
    private var listener: Channel? = null
    private var isLeaving = false

    /** Number of instances that are connected now. */
    val followerCount: Int get() = followers.size

    /** Accepts connections of other instances at [address]. */
    fun listen(address: HostPort) {
        val bound = ServerBootstrap().group(eventLoop).channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_KEEPALIVE, true)
            .childHandler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) = channel.addRelayHandlers(Handler())
            })
            .bind(address.host, address.port).awaitUninterruptibly()
        if (bound.isSuccess) {
            listener = bound.channel()
        } else {
            DecisionLog.write("relay_off", "address" to address, "reason" to bound.cause())
        }
    }

    /** Closes the connections of all followers and accepts no more. */
    fun leave() {
        isLeaving = true
        listener?.close()
        followers.toList().forEach(Channel::close)
    }

    /** Sends [state], all of the part under [prefix], to the followers when it has been read for the first time. */
    fun sendState(prefix: String, state: List<StoredValue>) {
        if (followers.isEmpty()) return
        val message = stateMessage(prefix, state)
        followers.toList().forEach { it.sendRelayMessage(message) }
    }

    private fun stateMessage(prefix: String, state: List<StoredValue>): ByteArray =
        RelayMessage.State(prefix, state.map { RelayedKey.of(StoreChange(it.key, it)) }).encode()

    /** Sends [changes] of the part under [prefix] to the followers. */
    fun sendChanges(prefix: String, changes: List<StoreChange>) {
        if (followers.isEmpty() || changes.isEmpty()) return
        val message = RelayMessage.Changes(prefix, changes.map(RelayedKey::of)).encode()
        followers.toList().forEach { it.sendRelayMessage(message) }
    }

    private inner class Handler : RelayHandler() {
        override fun channelActive(context: ChannelHandlerContext) {
            if (isLeaving) {
                context.close()
                return
            }
            followers += context.channel()
            for ((prefix, state) in parts.states) {
                context.channel().sendRelayMessage(stateMessage(prefix, state))
            }
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            followers -= context.channel()
        }

        override fun handle(message: RelayMessage, channel: Channel) {
            if (message is RelayMessage.Ask) {
                channel.sendRelayMessage(RelayMessage.Current(message.number, parts.freshness()).encode())
            } else {
                channel.close()
            }
        }
    }
}
