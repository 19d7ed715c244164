package io.quetzalfield.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled

/**
 * One whole event of a stream, with the blank line that ends it. The receiver releases [bytes].
 *
 * @property number the event's id; `null` when it has none or one that is no number.
 */
public class StreamEvent(public val bytes: ByteBuf, public val number: Long?)

/** Cuts the body of an event stream into whole events; what follows the last whole one is kept until more comes. */
public class EventSplitter : AutoCloseable {
    private val pending: CompositeByteBuf = Unpooled.compositeBuffer(MOST_COMPONENTS)

    /** Whether bytes of an event that has not ended are held. */
    public val hasPartialEvent: Boolean get() = pending.isReadable

    /** Takes [content], whose reference passes to the splitter, and returns the events that are whole now. */
    public fun add(content: ByteBuf): List<StreamEvent> {
        pending.addComponent(true, content)
        val events = mutableListOf<StreamEvent>()
        while (true) {
            val end = endOfFirstEvent()
            if (end < 0) break
            val bytes = pending.readBytes(end - pending.readerIndex())
            events += StreamEvent(bytes, numberOf(bytes))
        }
        pending.discardReadComponents()
        return events
    }

    override fun close() {
        pending.release()
    }

    /** Index after the first blank line; lines end with LF or CR LF. */
    private fun endOfFirstEvent(): Int {
        var index = pending.readerIndex()
        var isLineEmpty = true
        var hasField = false
        while (index < pending.writerIndex()) {
            when (pending.getByte(index++)) {
                LINE_FEED -> {
                    if (isLineEmpty && hasField) return index
                    hasField = hasField || !isLineEmpty
                    isLineEmpty = true
                }

                CARRIAGE_RETURN -> Unit

                else -> isLineEmpty = false
            }
        }
        return -1
    }

    private fun numberOf(event: ByteBuf): Long? = event.toString(Charsets.UTF_8).lineSequence()
        .firstOrNull { it.startsWith(ID_FIELD) }
        ?.removePrefix(ID_FIELD)?.trim()?.toLongOrNull()

    private companion object {
        const val MOST_COMPONENTS = 1_024
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
