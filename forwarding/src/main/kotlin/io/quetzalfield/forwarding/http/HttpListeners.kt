package io.quetzalfield.forwarding.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.timeout.IdleStateHandler
import io.quetzalfield.model.HostPort
import java.util.concurrent.TimeUnit

private const val BACKLOG = 1_024
private const val QUESTION_BYTES = 8_192
private const val QUESTION_IDLE_SECONDS = 15L

/** An answer of one of the small interfaces: addresses, readiness, metrics. */
public class PlainAnswer(
    public val status: Int,
    public val contentType: String? = null,
    public val body: ByteArray? = null,
)

/** Opens the addresses at which this process is called. */
public class HttpListeners(private val group: EventLoopGroup) {
    /** Takes callers' requests at [address]. */
    public fun listenForCallers(address: HostPort, context: RoutingContext, connections: CallerConnections): Channel =
        listen(address) { channel ->
            val connection = CallerConnection(context, connections)
            val headerBytes = (context.configuration.current?.limits?.headerBytes ?: DEFAULT_HEADER_BYTES)
            channel.pipeline().addLast(
                ArrivalNotice(connection),
                StrictRequestDecoder(headerBytes),
                HttpResponseEncoder(),
                connection,
            )
        }

    /** Answers short questions at [address] by their path and query; `null` stands for an unknown path. */
    public fun listenForQuestions(address: HostPort, answer: (String) -> PlainAnswer?): Channel =
        listen(address) { channel ->
            channel.pipeline().addLast(
                IdleStateHandler(0, 0, QUESTION_IDLE_SECONDS, TimeUnit.SECONDS),
                HttpRequestDecoder(),
                HttpResponseEncoder(),
                HttpObjectAggregator(QUESTION_BYTES),
                QuestionHandler(answer),
            )
        }

    private fun listen(address: HostPort, initialize: (SocketChannel) -> Unit): Channel = ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.SO_KEEPALIVE, true)
        .childOption(ChannelOption.RECVBUF_ALLOCATOR, readingToTheEnd())
        .childHandler(initializer(initialize))
        .bind(address.host, address.port)
        .syncUninterruptibly()
        .channel()

    /** Reads on until nothing is left, so that a close behind a request is seen before the request is sent on. */
    private fun readingToTheEnd() =
        AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(MOST_READS)

    private fun initializer(initialize: (SocketChannel) -> Unit): ChannelHandler =
        object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) = initialize(channel)
        }

    private companion object {
        /** Until a configuration names a limit. */
        const val DEFAULT_HEADER_BYTES = 16_384

        /** Reads of one connection in a row, before others have their turn. */
        const val MOST_READS = 16
    }
}

/** Tells the connection of each read, also of bytes that are no whole header yet. */
private class ArrivalNotice(private val connection: CallerConnection) : ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        connection.bytesArrived()
        context.fireChannelRead(message)
    }
}

/** Refuses a request with both a length and chunks, whose end two readers may see at different places. */
private class StrictRequestDecoder(headerBytes: Int) :
    HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(headerBytes)
            .setMaxHeaderSize(headerBytes)
            .setMaxChunkSize(LARGEST_CHUNK),
    ) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both a length and chunks")

    private companion object {
        const val LARGEST_CHUNK = 65_536
    }
}

private class QuestionHandler(private val answer: (String) -> PlainAnswer?) :
    SimpleChannelInboundHandler<FullHttpRequest>() {
    override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
        val plain = if (request.decoderResult().isFailure) PlainAnswer(BAD_REQUEST) else answer(request.uri())
        val found = plain ?: PlainAnswer(NOT_FOUND)
        val body = found.body?.let(Unpooled::wrappedBuffer) ?: Unpooled.EMPTY_BUFFER
        val response =
            DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(found.status), body)
        found.contentType?.let { response.headers().set(HttpHeaderNames.CONTENT_TYPE, it) }
        HttpUtil.setContentLength(response, body.readableBytes().toLong())
        val isKept = HttpUtil.isKeepAlive(request)
        HttpUtil.setKeepAlive(response, isKept)
        val written = context.writeAndFlush(response)
        if (!isKept) written.addListener(ChannelFutureListener.CLOSE)
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        context.close()
    }

    @Deprecated("Declared so by ChannelHandler")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
    }
}
