package io.quetzalfield.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.AsciiString

/**
 * Decodes the responses of an endpoint. A status line or a field line that is not valid is a decoding failure, also
 * where HTTP allows a recipient to repair it: the endpoint may mean something else by it. So is a transfer coding other
 * than chunked.
 */
internal class EndpointResponseDecoder : HttpResponseDecoder(HttpDecoderConfig()) {
    /** The method of the request whose response comes next. */
    var requestMethod: HttpMethod = HttpMethod.GET

    private val lines = HeadLineScanner()

    /** Whether the next byte belongs to a head; if not, to the body or the trailer after it. */
    private var isInHead = true

    /** Bytes that were received and are part of no message so far. */
    val undecodedBytes: Int get() = actualReadableBytes()

    /** The first of the [undecodedBytes]. */
    fun undecodedBeginning(): String {
        if (undecodedBytes == 0) return ""
        val bytes = internalBuffer()
        return bytes.toString(bytes.readerIndex(), minOf(undecodedBytes, BEGINNING_LENGTH), Charsets.ISO_8859_1)
    }

    /** Whether [message] is complete with its head. */
    fun hasNoBody(message: HttpMessage): Boolean = isContentAlwaysEmpty(message)

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        requestMethod == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)

    override fun decode(context: ChannelHandlerContext, input: ByteBuf, output: MutableList<Any>) {
        val firstByte = input.readerIndex()
        val decodedBefore = output.size
        super.decode(context, input, output)
        if (isInHead) lines.scan(input, firstByte, input.readerIndex())
        for (index in decodedBefore until output.size) onDecoded(output[index])
    }

    private fun onDecoded(part: Any) {
        if (part is HttpMessage) {
            defectOf(part)?.let { part.decoderResult = DecoderResult.failure(IllegalArgumentException(it)) }
            lines.reset()
        }
        isInHead = part is LastHttpContent
    }

    private fun defectOf(head: HttpMessage): String? = when {
        lines.hasContinuedLine -> "a field continues on another line"
        !isTransferCodingKnown(head) -> "the transfer coding is not chunked"
        else -> null
    }

    /** A body in any other coding would be passed on without the field that names the coding. */
    private fun isTransferCodingKnown(head: HttpMessage): Boolean {
        val codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        return codings.isEmpty() || HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.singleOrNull())
    }

    /** The superclass takes any number for a status and any text for a version. */
    override fun createMessage(initialLine: Array<String>): HttpMessage {
        val (version, status, reason) = initialLine
        require(Version.matches(version)) { "the protocol is not HTTP/1" }
        require(Status.matches(status)) { "the status is not between 100 and 599" }
        require(reason.none(::isControl)) { "the reason phrase contains control characters" }
        return super.createMessage(initialLine)
    }

    private fun isControl(character: Char) = (character < ' ' && character != '\t') || character == DELETE

    /** The superclass ends the name at the first blank of the line and leaves out what is between it and the colon. */
    override fun splitHeaderName(line: ByteArray, start: Int, length: Int): AsciiString {
        require(line.getOrNull(start + length) == COLON) { "a field name is not followed by a colon" }
        return super.splitHeaderName(line, start, length)
    }

    private companion object {
        /** Bytes; more than the beginning of a status line with the status. */
        const val BEGINNING_LENGTH = 16
        const val DELETE = '\u007f'
        const val COLON = ':'.code.toByte()
        val Version = Regex("""HTTP/1\.[0-9]""")
        val Status = Regex("[1-5][0-9]{2}")
    }
}

/** Detects field lines of one head that begin with a blank, which the decoder appends to the value before them. */
private class HeadLineScanner {
    private var isAtLineStart = false

    /** Whether the head has such a line. */
    var hasContinuedLine = false
        private set

    /** Scans the bytes of [input] from index [from] up to [to], which follow those of the call before. */
    fun scan(input: ByteBuf, from: Int, to: Int) {
        for (index in from until to) {
            val byte = input.getByte(index)
            hasContinuedLine = hasContinuedLine || (isAtLineStart && (byte == SPACE || byte == TAB))
            isAtLineStart = byte == LINE_FEED
        }
    }

    /** Prepares for the next head. */
    fun reset() {
        isAtLineStart = false
        hasContinuedLine = false
    }

    private companion object {
        const val SPACE = ' '.code.toByte()
        const val TAB = '\t'.code.toByte()
        const val LINE_FEED = '\n'.code.toByte()
    }
}
