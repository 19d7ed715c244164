package io.quetzalfield.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled

/**
 * One complete event of a stream, including the blank line that ends it. The receiver releases [bytes].
 *
 * @property number the event's id; `null` if it has none or one that is not a number.
 * @property containsHead whether the head of another response is in it, as in a broken-off event that was filled up.
 */
public class StreamEvent(public val bytes: ByteBuf, public val number: Long?, public val containsHead: Boolean = false)

/** Splits the body of an event stream into complete events and buffers an incomplete last one. */
public class EventSplitter : AutoCloseable {
    private val pending: CompositeByteBuf = Unpooled.compositeBuffer(COMPONENT_LIMIT)

    private val detector = ResponseHeadDetector()

    /** Number of bytes of the incomplete event that have been scanned. */
    private var scanned = 0
    private var isLineEmpty = true
    private var hasField = false

    /** Whether bytes of an incomplete event are buffered. */
    public val hasPartialEvent: Boolean get() = pending.isReadable

    /** Whether the incomplete event is larger than any expected one and may never end. */
    public val isEventTooLarge: Boolean get() = pending.readableBytes() > EVENT_LIMIT

    /** Adds [content], which the splitter releases, and returns the events that it completes. */
    public fun add(content: ByteBuf): List<StreamEvent> {
        pending.addComponent(true, content)
        val events = mutableListOf<StreamEvent>()
        while (true) {
            val length = lengthOfFirstEvent() ?: break
            val bytes = pending.readBytes(length)
            events += StreamEvent(bytes, numberOf(bytes.toString(Charsets.UTF_8)), detector.containsHead)
            detector.reset()
        }
        pending.discardReadComponents()
        return events
    }

    override fun close() {
        pending.release()
    }

    /** Length up to and including the first blank line; lines end with LF or CR LF. Scans each byte once. */
    private fun lengthOfFirstEvent(): Int? {
        while (scanned < pending.readableBytes()) {
            val byte = pending.getByte(pending.readerIndex() + scanned++)
            detector.accept(byte)
            when (byte) {
                LINE_FEED -> {
                    if (isLineEmpty && hasField) return scanned.also { resetScan() }
                    hasField = hasField || !isLineEmpty
                    isLineEmpty = true
                }

                CARRIAGE_RETURN -> Unit

                else -> isLineEmpty = false
            }
        }
        return null
    }

    private fun resetScan() {
        scanned = 0
        isLineEmpty = true
        hasField = false
    }

    private fun numberOf(event: String): Long? = event.lineSequence()
        .firstOrNull { it.startsWith(ID_FIELD) }
        ?.removePrefix(ID_FIELD)?.trim()?.toLongOrNull()

    private companion object {
        const val COMPONENT_LIMIT = 1_024

        /** Bytes; thousands of times the size of an event with a few tokens. */
        const val EVENT_LIMIT = 256 * 1024
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
