package io.quetzalfield.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.SocketChannel
import io.netty.util.concurrent.ScheduledFuture
import io.quetzalfield.forwarding.schedule
import kotlin.time.Duration

/**
 * Closes a connection whose caller may still be sending the request that was refused: a close while bytes are unread
 * resets the connection, and the caller may never read the answer. Once the answer is written, reading goes on until
 * the caller closes, for [limit] and [bytesLeft] bytes at most. What is read is discarded by the decoder.
 */
internal class LingeringClose(private val limit: Duration, private var bytesLeft: Long) :
    ChannelInboundHandlerAdapter(),
    ChannelFutureListener {
    private var timer: ScheduledFuture<*>? = null

    override fun operationComplete(written: ChannelFuture) {
        val channel = written.channel()
        if (!written.isSuccess || channel !is SocketChannel) {
            channel.close()
            return
        }
        channel.shutdownOutput()
        channel.pipeline().addFirst(this)
        channel.config().isAutoRead = true
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        timer = context.channel().eventLoop().schedule(limit) { context.close() }
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        bytesLeft -= (message as? ByteBuf)?.readableBytes() ?: 0
        context.fireChannelRead(message)
        if (bytesLeft < 0) context.close()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timer?.cancel(false)
        context.fireChannelInactive()
    }
}
