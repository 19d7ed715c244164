package io.quetzalfield.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator

/** Collects the body of a response until it is complete, and checks it as it arrives. Not thread-safe. */
internal class ResponseBodyBuffer(allocator: ByteBufAllocator) : AutoCloseable {
    private var bytes: ByteBuf? = allocator.buffer()
    private val detector = ResponseHeadDetector()

    /** Appends [content], which the caller releases. */
    fun add(content: ByteBuf) {
        detector.add(content)
        bytes?.writeBytes(content)
    }

    /** Whether the body was broken off and filled up with another response, as far as [end] shows. */
    fun containsAnother(end: ResponseEnd): Boolean = when (end) {
        is ResponseEnd.Marked -> detector.containsHead
        is ResponseEnd.Followed -> detector.isFilledUp(end.beginning)
        is ResponseEnd.ConnectionClosed -> detector.containsStatusLine
    }

    /** Returns the body, which the caller releases. */
    fun take(): ByteBuf = checkNotNull(bytes) { "the body has been taken" }.also { bytes = null }

    override fun close() {
        bytes?.release()
        bytes = null
    }
}
