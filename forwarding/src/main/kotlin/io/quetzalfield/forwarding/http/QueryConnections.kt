package io.quetzalfield.forwarding.http

import io.netty.channel.Channel

/**
 * The open connections to one address that answers queries. The load is crowds that open connections and leave them:
 * of more than [limit], the oldest is closed, as a query is answered as soon as its connection is open. Used on the
 * event loop only.
 */
internal class QueryConnections(private val limit: Int) {
    private val open = LinkedHashSet<Channel>()

    fun add(channel: Channel) {
        if (open.size >= limit) {
            open.first().let { oldest ->
                open -= oldest
                oldest.close()
            }
        }
        open += channel
        channel.closeFuture().addListener { open -= channel }
    }
}
