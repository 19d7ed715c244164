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

    /** Bytes after the start of the event that has not ended which have been looked at. */
    private var scanned = 0
    private var isLineEmpty = true
    private var hasField = false

    /** Whether bytes of an event that has not ended are held. */
    public val hasPartialEvent: Boolean get() = pending.isReadable

    /** Whether the event that has not ended is larger than any that is expected; it may have no end. */
    public val isOverfull: Boolean get() = pending.readableBytes() > LARGEST_EVENT

    /** Takes [content], whose reference passes to the splitter, and returns the events that are whole now. */
    public fun add(content: ByteBuf): List<StreamEvent> {
        pending.addComponent(true, content)
        val events = mutableListOf<StreamEvent>()
        while (true) {
            val length = lengthOfFirstEvent() ?: break
            val bytes = pending.readBytes(length)
            events += StreamEvent(bytes, numberOf(bytes))
        }
        pending.discardReadComponents()
        return events
    }

    override fun close() {
        pending.release()
    }

    /** Length up to the first blank line; lines end with LF or CR LF. No byte is looked at twice. */
    private fun lengthOfFirstEvent(): Int? {
        while (scanned < pending.readableBytes()) {
            when (pending.getByte(pending.readerIndex() + scanned++)) {
                LINE_FEED -> {
                    if (isLineEmpty && hasField) return scanned.also { startOver() }
                    hasField = hasField || !isLineEmpty
                    isLineEmpty = true
                }

                CARRIAGE_RETURN -> Unit

                else -> isLineEmpty = false
            }
        }
        return null
    }

    private fun startOver() {
        scanned = 0
        isLineEmpty = true
        hasField = false
    }

    private fun numberOf(event: ByteBuf): Long? = event.toString(Charsets.UTF_8).lineSequence()
        .firstOrNull { it.startsWith(ID_FIELD) }
        ?.removePrefix(ID_FIELD)?.trim()?.toLongOrNull()

    private companion object {
        const val MOST_COMPONENTS = 1_024

        /** Bytes; thousands of times an event with a few tokens. */
        const val LARGEST_EVENT = 256 * 1024
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
