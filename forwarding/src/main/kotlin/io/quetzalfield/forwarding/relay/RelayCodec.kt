package io.quetzalfield.forwarding.relay

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.LengthFieldBasedFrameDecoder
import io.netty.handler.codec.LengthFieldPrepender
import io.quetzalfield.forwarding.DecisionLog
import kotlinx.serialization.SerializationException

/** Adds what reads and writes relay messages, with their length before them, and [handler] behind it. */
internal fun Channel.addRelayHandlers(handler: RelayHandler) {
    pipeline().addLast(
        LengthFieldBasedFrameDecoder(LARGEST_FRAME, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
        LengthFieldPrepender(LENGTH_BYTES),
        handler,
    )
}

/** Sends [message]; the connection is closed when its peer does not take what it is sent. */
internal fun Channel.sendRelayed(message: ByteArray) {
    if (bytesBeforeWritable() > MOST_UNSENT_BYTES) {
        DecisionLog.write("relay_peer_slow", "peer" to remoteAddress(), "unsent" to bytesBeforeWritable())
        close()
    } else {
        writeAndFlush(Unpooled.wrappedBuffer(message))
    }
}

/** One end of a relay connection. What cannot be read closes the connection and nothing else. */
internal abstract class RelayHandler : SimpleChannelInboundHandler<ByteBuf>() {
    /** Takes a message of the other end. */
    abstract fun take(message: RelayMessage, channel: Channel)

    override fun channelRead0(context: ChannelHandlerContext, frame: ByteBuf) {
        val message = try {
            decodeRelayMessage(ByteBufUtil.getBytes(frame))
        } catch (error: SerializationException) {
            return fail(context, error)
        }
        take(message, context.channel())
    }

    @Deprecated("Declared so by ChannelHandler")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) = fail(context, cause)

    private fun fail(context: ChannelHandlerContext, cause: Throwable) {
        DecisionLog.write("relay_connection_failed", "peer" to context.channel().remoteAddress(), "reason" to cause)
        context.close()
    }
}

private const val LENGTH_BYTES = 4

/** A part with a value of the store's largest size, 1 MiB, several times over. */
private const val LARGEST_FRAME = 16 * 1024 * 1024

/** Bytes that may wait for a peer: two whole states; one that takes them more slowly reads the store itself. */
private const val MOST_UNSENT_BYTES = 8L * 1024 * 1024
