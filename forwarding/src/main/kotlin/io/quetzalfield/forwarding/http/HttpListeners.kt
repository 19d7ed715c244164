package io.quetzalfield.forwarding.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.RecvByteBufAllocator
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.flow.FlowControlHandler
import io.netty.handler.timeout.IdleStateHandler
import io.quetzalfield.model.HostPort
import java.util.concurrent.TimeUnit

private const val BACKLOG = 1_024
private const val QUERY_BODY_LIMIT = 8_192L
private const val QUERY_IDLE_SECONDS = 15L

/** Far longer than the head of a query; short enough for many connections at once. */
private const val QUERY_HEADER_LIMIT = 4_096
private const val DEFAULT_QUERY_CONNECTIONS = 64

/** Bytes of one read of a connection with queries, which bound what it holds of queries that were sent ahead. */
private const val QUERY_READ_BYTES = 4_096

/** An answer to a query for addresses, readiness or metrics. */
public class PlainAnswer(
    public val status: Int,
    public val contentType: String? = null,
    public val body: ByteArray? = null,
)

/** Opens the listening sockets of this process. */
public class HttpListeners(
    private val group: EventLoopGroup,
    private val queryConnections: Int = DEFAULT_QUERY_CONNECTIONS,
) {
    /** Accepts callers' requests at [address]. */
    public fun listenForCallers(address: HostPort, context: RoutingContext, connections: CallerConnections): Channel =
        listen(address) { channel ->
            val connection = CallerConnection(context, connections)
            val headerBytes = (context.configuration.current?.limits?.headerBytes ?: DEFAULT_HEADER_BYTES)
            channel.pipeline().addLast(
                ReadNotifier(connection),
                CallerRequestDecoder(headerBytes, connection),
                HttpResponseEncoder(),
                connection,
            )
        }

    /**
     * Answers short requests at [address] by their path and query. A `null` [answer] is sent as status 404. A
     * connection is read on when its query has been answered and the answer has been written.
     */
    public fun listenForQueries(address: HostPort, answer: (String) -> PlainAnswer?): Channel {
        val connections = QueryConnections(queryConnections)
        val allocator = FixedRecvByteBufAllocator(QUERY_READ_BYTES).maxMessagesPerRead(1)
        return listen(address, allocator, isReadOnDemand = true) { channel ->
            connections.add(channel)
            channel.pipeline().addLast(
                IdleStateHandler(0, 0, QUERY_IDLE_SECONDS, TimeUnit.SECONDS),
                HttpRequestDecoder(HttpDecoderConfig().setMaxHeaderSize(QUERY_HEADER_LIMIT)),
                HttpResponseEncoder(),
                FlowControlHandler(),
                QueryHandler(answer),
            )
        }
    }

    private fun listen(
        address: HostPort,
        allocator: RecvByteBufAllocator = drainingAllocator(),
        isReadOnDemand: Boolean = false,
        initialize: (SocketChannel) -> Unit,
    ): Channel = ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.SO_KEEPALIVE, true)
        .childOption(ChannelOption.RECVBUF_ALLOCATOR, allocator)
        .childOption(ChannelOption.AUTO_READ, !isReadOnDemand)
        .childHandler(initializer(initialize))
        .bind(address.host, address.port)
        .syncUninterruptibly()
        .channel()

    /** Lets reads go on until no bytes are left, so that a close after a request is seen before it is forwarded. */
    private fun drainingAllocator() =
        AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(READS_PER_TURN)

    private fun initializer(initialize: (SocketChannel) -> Unit): ChannelHandler =
        object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) = initialize(channel)
        }

    private companion object {
        /** Used until the configuration sets a limit. */
        const val DEFAULT_HEADER_BYTES = 16_384

        /** Consecutive reads of one connection before the others are read. */
        const val READS_PER_TURN = 16
    }
}

/** Answers one query after the other; the next one is read when the answer has been written. Bodies are not held. */
private class QueryHandler(private val answer: (String) -> PlainAnswer?) : SimpleChannelInboundHandler<HttpObject>() {
    private var query: HttpRequest? = null
    private var bodyBytes = 0L
    private var isWaiting = false

    override fun channelActive(context: ChannelHandlerContext): Unit = read(context)

    private fun read(context: ChannelHandlerContext) {
        isWaiting = true
        context.read()
    }

    /** A read that ended in the midst of a head has brought nothing, and has to be asked for again. */
    override fun channelReadComplete(context: ChannelHandlerContext) {
        if (isWaiting) context.read()
    }

    override fun channelRead0(context: ChannelHandlerContext, part: HttpObject) {
        isWaiting = false
        if (part.decoderResult().isFailure) return write(context, PlainAnswer(BAD_REQUEST), isKept = false)
        if (part is HttpRequest) begin(context, part)
        if (part is HttpContent) bodyBytes += part.content().readableBytes()
        if (part is LastHttpContent) finish(context) else readNext(context)
    }

    private fun begin(context: ChannelHandlerContext, request: HttpRequest) {
        query = request
        bodyBytes = 0
        if (!HttpUtil.is100ContinueExpected(request)) return
        context.writeAndFlush(
            DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER),
        )
    }

    private fun finish(context: ChannelHandlerContext) {
        val request = checkNotNull(query) { "a body without a head" }
        val plain = if (bodyBytes > QUERY_BODY_LIMIT) PlainAnswer(BODY_TOO_LARGE) else answer(request.uri())
        write(context, plain ?: PlainAnswer(NOT_FOUND), HttpUtil.isKeepAlive(request))
    }

    private fun write(context: ChannelHandlerContext, answer: PlainAnswer, isKept: Boolean) {
        val body = answer.body?.let(Unpooled::wrappedBuffer) ?: Unpooled.EMPTY_BUFFER
        val response =
            DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status), body)
        answer.contentType?.let { response.headers().set(HttpHeaderNames.CONTENT_TYPE, it) }
        HttpUtil.setContentLength(response, body.readableBytes().toLong())
        HttpUtil.setKeepAlive(response, isKept)
        val written = context.writeAndFlush(response)
        written.addListener(if (isKept) ChannelFutureListener { readNext(context) } else ChannelFutureListener.CLOSE)
    }

    /**
     * Lets other connections have a turn before this one goes on. The rest of what was read is known by then, so that
     * the socket, and with it the caller's close, is read only when all of it has been answered.
     */
    private fun readNext(context: ChannelHandlerContext) = context.executor().execute { read(context) }

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
        const val BODY_TOO_LARGE = 413
    }
}
