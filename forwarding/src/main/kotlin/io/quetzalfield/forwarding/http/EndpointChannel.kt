package io.quetzalfield.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.channel.socket.nio.NioSocketChannel

/** A channel to an endpoint that tells an orderly close by the endpoint from every other end of the connection. */
internal class EndpointChannel : NioSocketChannel() {
    /** Whether the end of the input was read; `false` if a read or a write failed, or this instance closed first. */
    var isInputEnded: Boolean = false
        private set

    override fun doReadBytes(buffer: ByteBuf): Int = super.doReadBytes(buffer).also { read ->
        if (read < 0) isInputEnded = true
    }
}
