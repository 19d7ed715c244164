package io.quetzalfield.forwarding.http

import io.netty.channel.Channel

/** Bytes of the buffers that are not written whole to the connection, each of which is held until it is. */
internal val Channel.unwrittenBytes: Long get() = unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0

/** Bytes that the other side has still to take before all that was sent to it is written. */
internal val Channel.unreadBytes: Long
    get() = unsafe().outboundBuffer()?.let { it.totalPendingWriteBytes() - it.currentProgress() } ?: 0
