package io.quetzalfield.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import io.quetzalfield.forwarding.schedule
import kotlin.time.Duration.Companion.milliseconds

/** Bytes of a piece of a body that is decoded at once. */
private const val CHUNK_LIMIT = 65_536

/** Pieces of one connection that are decoded before others have their turn; a read has fewer unless they are tiny. */
private const val PIECES_PER_TURN = 256

/** Time until a connection whose turn was cut short has another one. */
private val TurnPause = 1.milliseconds

/** Notifies [connection] of each read, including those of an incomplete header. */
internal class ReadNotifier(private val connection: CallerConnection) : ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        connection.onBytesRead()
        context.fireChannelRead(message)
    }
}

/**
 * Decodes the requests of [connection], one after another: what a caller sends ahead stays undecoded, as its objects
 * take many times its bytes. Rejects a request with both a length and chunked encoding, whose end two parsers may see
 * at different places.
 */
internal class CallerRequestDecoder(headerBytes: Int, private val connection: CallerConnection) :
    HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(headerBytes)
            .setMaxHeaderSize(headerBytes)
            .setMaxChunkSize(CHUNK_LIMIT)
            .setHeadersFactory(CountedHeadersFactory(connection))
            .setTrailersFactory(CountedHeadersFactory(connection)),
    ) {
    private lateinit var decoderContext: ChannelHandlerContext
    private var piecesInTurn = 0

    /** Whether the rest of what has been read waits for another turn. */
    private var isTurnOver = false

    /** Decodes what has been read before. */
    fun decodeOn() {
        if (!decoderContext.isRemoved) channelRead(decoderContext, Unpooled.EMPTY_BUFFER)
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        decoderContext = context
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        super.channelRead(context, message)
        connection.onDecoded(actualReadableBytes(), isTurnOver)
    }

    /** The superclass would read on, although reading was stopped, when a read has brought no whole object. */
    override fun channelReadComplete(context: ChannelHandlerContext) {
        if (!isTurnOver) piecesInTurn = 0
        if (connection.isHeld || isTurnOver) context.fireChannelReadComplete() else super.channelReadComplete(context)
    }

    private fun endTurn() {
        isTurnOver = true
        decoderContext.channel().eventLoop().schedule(TurnPause) {
            isTurnOver = false
            piecesInTurn = 0
            decodeOn()
        }
    }

    override fun decode(context: ChannelHandlerContext, input: ByteBuf, output: MutableList<Any>) {
        when {
            connection.isDiscarding -> input.skipBytes(input.readableBytes())

            connection.isHeld || isTurnOver -> Unit

            piecesInTurn >= PIECES_PER_TURN -> endTurn()

            else -> {
                piecesInTurn++
                super.decode(context, input, output)
            }
        }
    }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("request has both Content-Length and chunked transfer encoding")
}

private class CountedHeadersFactory(private val connection: CallerConnection) : HttpHeadersFactory {
    override fun newHeaders(): HttpHeaders = CountedHeaders(connection)

    override fun newEmptyHeaders(): HttpHeaders = newHeaders()
}

/** Header fields whose memory is held as they are decoded, before the whole head is known. */
private class CountedHeaders(private val connection: CallerConnection) : DefaultHttpHeaders() {
    override fun add(name: CharSequence, value: Any): HttpHeaders {
        connection.onField(name.length + value.toString().length)
        return super.add(name, value)
    }
}
