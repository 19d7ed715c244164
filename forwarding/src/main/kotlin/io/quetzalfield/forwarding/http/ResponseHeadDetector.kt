package io.quetzalfield.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.util.ByteProcessor

/**
 * Detects the beginning of another response in the body of one, such as a body that was broken off and filled up with
 * the next response. Takes the body in pieces of any length and does a constant amount of work for each byte. Not
 * thread-safe.
 */
internal class ResponseHeadDetector {
    /** Whether a status line, up to its status, has been received. */
    var containsStatusLine: Boolean = false
        private set

    /** Whether a status line and, on the next line, the name of a header have been received. */
    var containsHead: Boolean = false
        private set

    /** Length of the longest beginning of a status line with which the bytes received so far end. */
    private var matched = 0
    private var isStatusLine = false
    private var isAfterCarriageReturn = false

    /** The name of a field in the line after a status line, as far as received; `null` outside of one. */
    private var name: StringBuilder? = null

    /** Whether nothing that has been received matters to what follows. */
    private val isIdle: Boolean get() = matched == 0 && !isStatusLine && name == null

    private val processor = ByteProcessor { byte ->
        accept(byte)
        !isIdle
    }

    /** Takes the readable bytes of [content], without changing its indices. */
    fun add(content: ByteBuf) {
        var index = content.readerIndex()
        while (index < content.writerIndex()) {
            // Most bodies contain few of these characters, which are found faster than by a look at each byte.
            if (isIdle) index = content.indexOf(index, content.writerIndex(), FirstOfStatusLine)
            if (index < 0) return
            val last = content.forEachByte(index, content.writerIndex() - index, processor)
            if (last < 0) return
            index = last + 1
        }
    }

    /** Takes one byte. */
    fun accept(byte: Byte): Unit = accept((byte.toInt() and BYTE_MASK).toChar())

    /** Takes one byte as a character of ISO 8859-1. */
    fun accept(byte: Char) {
        if (isIdle && byte != STATUS_LINE_FORM[0]) return
        if (!containsHead) acceptName(byte)
        matched = lengthMatchedWith(byte, matched)
        if (matched == STATUS_LINE_FORM.length) {
            containsStatusLine = true
            isStatusLine = true
        }
        if (byte == '\n') name = if (isStatusLine && isAfterCarriageReturn) StringBuilder() else null
        if (byte == '\n' || isAfterCarriageReturn) endLine()
        isAfterCarriageReturn = byte == '\r'
    }

    /** Prepares for another body. */
    fun reset() {
        containsStatusLine = false
        containsHead = false
        matched = 0
        name = null
        endLine()
    }

    /**
     * Whether another response begins within the bytes received, as far as they and the bytes [following] them show.
     * Its beginning may itself be broken off.
     */
    fun isFilledUp(following: String): Boolean {
        if (containsStatusLine) return true
        val rest = following.take(STATUS_LINE_FORM.length - matched)
        return matched > 0 && rest.indices.all { isStatusLineCharacter(rest[it], matched + it) }
    }

    private fun endLine() {
        isStatusLine = false
        isAfterCarriageReturn = false
    }

    private fun acceptName(byte: Char) {
        val received = name ?: return
        when {
            byte == ':' -> {
                containsHead = received.isNotEmpty() && received.toString() !in EventFields
                name = null
            }

            byte !in NameCharacters -> name = null

            received.length <= LongestEventField -> received.append(byte)
        }
    }

    private fun lengthMatchedWith(byte: Char, before: Int): Int = when {
        before < STATUS_LINE_FORM.length && isStatusLineCharacter(byte, before) -> before + 1

        // The first character of the form occurs in it only once.
        isStatusLineCharacter(byte, 0) -> 1

        else -> 0
    }

    private fun isStatusLineCharacter(byte: Char, index: Int): Boolean {
        val expected = STATUS_LINE_FORM[index]
        return if (expected == ANY_DIGIT) byte in '0'..'9' else byte == expected
    }

    private companion object {
        const val BYTE_MASK = 0xFF
        const val ANY_DIGIT = '0'

        /** A zero stands for any digit. */
        const val STATUS_LINE_FORM = "HTTP/0.0 000"
        val FirstOfStatusLine = STATUS_LINE_FORM[0].code.toByte()

        val NameCharacters = '!'..'~'

        /** Fields of an event, whose text may quote a status line. */
        val EventFields = setOf("data", "id", "event", "retry")
        val LongestEventField = EventFields.maxOf(String::length)
    }
}
