package io.quetzalfield.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse

/** Where the answer to one request goes: the caller's connection. */
public interface CallerReply {
    /** Whether the caller's connection takes more bytes now. */
    public val isWritable: Boolean

    /** Sends a whole answer of an endpoint. The reference of [body] passes on. */
    public fun sendWhole(response: HttpResponse, body: ByteBuf)

    /** Sends the head of a stream. */
    public fun sendStreamHead(response: HttpResponse)

    /** Sends bytes of a stream's body, whose reference passes on. */
    public fun sendStreamPart(part: ByteBuf)

    /** Ends a stream as complete. */
    public fun endStream()

    /** Sends an answer of this instance's own. */
    public fun sendOwn(answer: OwnAnswer)

    /** Ends a stream that has begun so that the caller sees that it is not complete. */
    public fun breakOff()
}
