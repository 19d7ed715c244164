package io.quetzalfield.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse

/** Sends the answer to one request on the caller's connection. */
public interface CallerReply {
    /** Whether the caller's connection accepts more bytes now. */
    public val isWritable: Boolean

    /** Sends a complete answer of an endpoint. Releases [body]. */
    public fun sendComplete(response: HttpResponse, body: ByteBuf)

    /** Sends the head of a stream. */
    public fun sendStreamHead(response: HttpResponse)

    /** Sends [content] of a stream's body and releases it. */
    public fun sendStreamContent(content: ByteBuf)

    /** Ends a stream as complete. */
    public fun endStream()

    /** Sends an answer that this instance generated. */
    public fun sendOwn(answer: OwnAnswer)

    /** Ends a stream that has begun in such a way that the caller detects that it is incomplete. */
    public fun abortStream()
}
