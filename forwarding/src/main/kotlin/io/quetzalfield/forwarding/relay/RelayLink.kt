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

/** Receives updates from a [RelayLink]. */
internal interface RelayLinkListener {
    /** Called when the relay's copy of the part under [prefix] has changed. */
    fun onChanges(link: RelayLink, prefix: String, changes: List<StoreChange>)

    /** Called when the connection has been opened. */
    fun onOpened(link: RelayLink)

    /** Called when the connection has been closed or could not be opened. */
    fun onClosed(link: RelayLink)

    /** Called when the relay has answered the query that was sent at [asked]. */
    fun onAnswer(link: RelayLink, asked: CallTime, parts: List<PartFreshness>)
}

/** A connection to the instance [relay], which sends its copy of the store's keys. Used on [eventLoop] only. */
internal class RelayLink(
    private val eventLoop: EventLoop,
    val target: RelayTarget,
    val openedAt: CallTime,
    private val listener: RelayLinkListener,
) {
    private val mirrors = HashMap<String, PartMirror>()

    /** Queries without an answer: the time at which each was sent, by number. */
    private val pending = LinkedHashMap<Long, CallTime>()
    private var channel: Channel? = null
    private var lastNumber = 0L

    /** Whether the connection was closed or could not be opened. */
    var isClosed = false
        private set

    /** The instance at the other end. */
    val relay: MemberRecord get() = target.relay

    /** Whether this instance takes the store's keys from this link. */
    var isAttached = false

    /** Whether the relay has answered any query. */
    var hasAnswered = false
        private set

    /** Whether the relay said in its last answer that it has lost the store, which it had read before. */
    var isRelayLost = false
        private set

    /** The copy of the part under [prefix] that the relay has sent; `null` until it is complete. */
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
            .addListener { future -> if (future.isSuccess) listener.onOpened(this) }
            .channel().also { channel = it }
            .closeFuture().addListener {
                isClosed = true
                listener.onClosed(this)
            }
    }

    /** Queries how current the relay's parts are. The age of the answer counts from [now]. */
    fun ask(now: CallTime) {
        val open = channel?.takeIf { it.isActive } ?: return
        pending[++lastNumber] = now
        if (pending.size > PENDING_QUERY_LIMIT) pending.remove(pending.keys.first())
        open.sendRelayMessage(RelayMessage.Ask(lastNumber).encode())
    }

    /** Closes the connection. */
    fun close() {
        isClosed = true
        channel?.close()
    }

    private fun handle(message: RelayMessage) {
        when (message) {
            is RelayMessage.State -> handleState(message.prefix, message.keys.mapNotNull { it.toChange().value })
            is RelayMessage.Changes -> handleChanges(message.prefix, message.keys.map(RelayedKey::toChange))
            is RelayMessage.Current -> handleCurrent(message)
            is RelayMessage.Ask -> close()
        }
    }

    private fun handleState(prefix: String, state: List<StoredValue>) {
        val changes = mirrors.getOrPut(prefix, ::PartMirror).replace(state)
        if (isAttached) listener.onChanges(this, prefix, changes)
    }

    private fun handleChanges(prefix: String, changes: List<StoreChange>) {
        val mirror = mirrors[prefix] ?: return close()
        val newChanges = changes.filter(mirror::update)
        if (isAttached && newChanges.isNotEmpty()) listener.onChanges(this, prefix, newChanges)
    }

    private fun handleCurrent(message: RelayMessage.Current) {
        val sent = pending.remove(message.number) ?: return
        hasAnswered = true
        pending.keys.removeAll { it < message.number }
        for (part in message.parts) mirrors[part.prefix]?.advanceTo(StoreRevision(part.reached))
        isRelayLost = message.parts.any { it.isLost && it.reached > 0 }
        listener.onAnswer(this, sent, message.parts)
    }

    private inner class Handler : RelayHandler() {
        override fun handle(message: RelayMessage, channel: Channel) = handle(message)
    }

    private companion object {
        /** Several round trips between failure domains. */
        val ConnectTimeout: Duration = 400.milliseconds

        /** Queries that may wait for an answer; answers to older queries are ignored. */
        const val PENDING_QUERY_LIMIT = 16
    }
}
