package io.quetzalfield.forwarding.relay

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.quetzalfield.forwarding.fleet.MemberRecord
import io.quetzalfield.model.HostPort
import io.quetzalfield.store.CallTime
import io.quetzalfield.store.StoreChange
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.StoredValue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Takes what comes on a [RelayLink]. */
internal interface RelayLinkListener {
    /** The part under [prefix] has changed at the relay. */
    fun changed(link: RelayLink, prefix: String, changes: List<StoreChange>)

    /** The relay has answered a question that was sent at [asked]. */
    fun answered(link: RelayLink, asked: CallTime, parts: List<PartCurrency>)
}

/** A connection to the instance [relay], which passes the store's keys on. Used on [eventLoop] only. */
internal class RelayLink(
    private val eventLoop: EventLoop,
    val relay: MemberRecord,
    val openedAt: CallTime,
    private val listener: RelayLinkListener,
) {
    private val mirrors = HashMap<String, PartMirror>()
    private val asked = LinkedHashMap<Long, CallTime>()
    private var channel: Channel? = null
    private var nextNumber = 0L

    /** Whether the connection has ended, or could not be opened. */
    var isClosed = false
        private set

    /** Whether the keys of this instance come by this link. */
    var isAttached = false

    /** The copy of the part under [prefix] that the relay has sent; `null` before it has sent all of it. */
    fun mirrorOf(prefix: String): PartMirror? = mirrors[prefix]?.takeIf(PartMirror::isComplete)

    /** Starts to connect. */
    fun open() {
        val address = relay.peerAddress?.let(HostPort::parse)
        if (address == null) {
            isClosed = true
            return
        }
        Bootstrap().group(eventLoop).channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, ConnectTimeout.inWholeMilliseconds.toInt())
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) = channel.addRelayHandlers(Handler())
            })
            .connect(address.host, address.port)
            .addListener { future -> if (!future.isSuccess) isClosed = true }
            .channel().also { channel = it }
            .closeFuture().addListener { isClosed = true }
    }

    /** Asks the relay how current its parts are; the answer counts from [now]. */
    fun ask(now: CallTime) {
        val open = channel?.takeIf { it.isActive } ?: return
        asked[++nextNumber] = now
        if (asked.size > MOST_ASKED) asked.remove(asked.keys.first())
        open.sendRelayed(RelayMessage.Ask(nextNumber).encode())
    }

    /** Ends the connection. */
    fun close() {
        isClosed = true
        channel?.close()
    }

    private fun take(message: RelayMessage) {
        when (message) {
            is RelayMessage.State -> takeState(message.prefix, message.keys.mapNotNull { it.toChange().value })
            is RelayMessage.Changes -> takeChanges(message.prefix, message.keys.map(RelayedKey::toChange))
            is RelayMessage.Current -> takeCurrency(message)
            is RelayMessage.Ask -> close()
        }
    }

    private fun takeState(prefix: String, state: List<StoredValue>) {
        val changes = mirrors.getOrPut(prefix, ::PartMirror).replace(state)
        if (isAttached) listener.changed(this, prefix, changes)
    }

    private fun takeChanges(prefix: String, changes: List<StoreChange>) {
        val mirror = mirrors[prefix] ?: return close()
        val news = changes.filter(mirror::take)
        if (isAttached && news.isNotEmpty()) listener.changed(this, prefix, news)
    }

    private fun takeCurrency(message: RelayMessage.Current) {
        val sent = asked.remove(message.number) ?: return
        asked.keys.removeAll { it < message.number }
        for (part in message.parts) mirrors[part.prefix]?.reach(StoreRevision(part.reached))
        listener.answered(this, sent, message.parts)
    }

    private inner class Handler : RelayHandler() {
        override fun take(message: RelayMessage, channel: Channel) = take(message)
    }

    private companion object {
        /** Several round trips between failure domains. */
        val ConnectTimeout: Duration = 400.milliseconds

        /** Questions that may wait for their answer; an answer that is later than these counts for nothing. */
        const val MOST_ASKED = 16
    }
}
