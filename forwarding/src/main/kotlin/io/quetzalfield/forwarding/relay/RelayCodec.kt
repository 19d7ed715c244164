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

/** Adds the codecs for length-prefixed relay messages and [handler] to the pipeline. */
internal fun Channel.addRelayHandlers(handler: RelayHandler) {
    pipeline().addLast(
        LengthFieldBasedFrameDecoder(FRAME_LIMIT, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
        LengthFieldPrepender(LENGTH_BYTES),
        handler,
    )
}

/** Sends [message], or closes the connection if too many bytes are waiting to be sent to its peer. */
internal fun Channel.sendRelayMessage(message: ByteArray) {
    if (bytesBeforeWritable() > UNSENT_BYTES_LIMIT) {
        DecisionLog.write("relay_peer_slow", "peer" to remoteAddress(), "unsent" to bytesBeforeWritable())
        close()
    } else {
        writeAndFlush(Unpooled.wrappedBuffer(message))
    }
}

/** Handles the messages on one end of a relay connection. Malformed messages and errors only close the connection. */
internal abstract class RelayHandler : SimpleChannelInboundHandler<ByteBuf>() {
    /** Called for each message from the other end. */
    abstract fun handle(message: RelayMessage, channel: Channel)

    override fun channelRead0(context: ChannelHandlerContext, frame: ByteBuf) {
        val message = try {
            decodeRelayMessage(ByteBufUtil.getBytes(frame))
        } catch (error: SerializationException) {
            return fail(context, error)
        }
        handle(message, context.channel())
    }

    @Deprecated("Declared so by ChannelHandler")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) = fail(context, cause)

    private fun fail(context: ChannelHandlerContext, cause: Throwable) {
        DecisionLog.write("relay_connection_failed", "peer" to context.channel().remoteAddress(), "reason" to cause)
        context.close()
    }
}

private const val LENGTH_BYTES = 4

/** Bytes; several times a part with a value of the store's largest size, 1 MiB. */
private const val FRAME_LIMIT = 16 * 1024 * 1024

/** Bytes that may wait to be sent to a peer: two complete states. A slower peer reads the store itself. */
private const val UNSENT_BYTES_LIMIT = 8L * 1024 * 1024
