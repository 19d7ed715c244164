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

/** What a [RelayServer] passes on. */
internal interface RelayedParts {
    /** Each part that has been read, by prefix. */
    val states: Map<String, List<StoredValue>>

    /** How current the parts are now. */
    fun currency(): List<PartCurrency>
}

/** Passes this instance's copy of the store's keys on to others. Used on [eventLoop] only. */
internal class RelayServer(private val eventLoop: EventLoop, private val parts: RelayedParts) {
    private val followers = LinkedHashSet<Channel>()
    private var listener: Channel? = null
    private var isLeaving = false

    /** Instances that are told now. */
    val followerCount: Int get() = followers.size

    /** Takes connections of other instances at [address]. */
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

    /** Sends the followers elsewhere and takes no more. */
    fun leave() {
        isLeaving = true
        listener?.close()
        followers.toList().forEach(Channel::close)
    }

    /** Tells the followers what has changed under [prefix]. */
    fun tell(prefix: String, changes: List<StoreChange>) {
        if (followers.isEmpty() || changes.isEmpty()) return
        val message = RelayMessage.Changes(prefix, changes.map(RelayedKey::of)).encode()
        followers.toList().forEach { it.sendRelayed(message) }
    }

    private inner class Handler : RelayHandler() {
        override fun channelActive(context: ChannelHandlerContext) {
            if (isLeaving) {
                context.close()
                return
            }
            followers += context.channel()
            for ((prefix, state) in parts.states) {
                val keys = state.map { RelayedKey.of(StoreChange(it.key, it)) }
                context.channel().sendRelayed(RelayMessage.State(prefix, keys).encode())
            }
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            followers -= context.channel()
        }

        override fun take(message: RelayMessage, channel: Channel) {
            if (message is RelayMessage.Ask) {
                channel.sendRelayed(RelayMessage.Current(message.number, parts.currency()).encode())
            } else {
                channel.close()
            }
        }
    }
}
