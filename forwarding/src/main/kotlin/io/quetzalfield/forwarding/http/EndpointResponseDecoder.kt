package io.quetzalfield.forwarding.http

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseDecoder

/** Decodes the responses of an endpoint. A status line that is not valid is a decoding failure. */
internal class EndpointResponseDecoder : HttpResponseDecoder(HttpDecoderConfig()) {
    /** The method of the request whose response comes next. */
    var requestMethod: HttpMethod = HttpMethod.GET

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

    /** The superclass takes any number for a status and any text for a version. */
    override fun createMessage(initialLine: Array<String>): HttpMessage {
        val (version, status, reason) = initialLine
        require(Version.matches(version)) { "the protocol is not HTTP/1" }
        require(Status.matches(status)) { "the status is not between 100 and 599" }
        require(reason.none(::isControl)) { "the reason phrase contains control characters" }
        return super.createMessage(initialLine)
    }

    private fun isControl(character: Char) = (character < ' ' && character != '\t') || character == DELETE

    private companion object {
        /** Bytes; more than the beginning of a status line with the status. */
        const val BEGINNING_LENGTH = 16
        const val DELETE = '\u007f'
        val Version = Regex("""HTTP/1\.[0-9]""")
        val Status = Regex("[1-5][0-9]{2}")
    }
}
