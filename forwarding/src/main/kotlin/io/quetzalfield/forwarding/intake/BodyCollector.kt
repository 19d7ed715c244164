package io.quetzalfield.forwarding.intake

import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled

/**
 * Copies a body together in few blocks, however small the pieces in which it arrives; a piece itself would keep the
 * whole buffer of its read.
 *
 * @param declaredBytes length of the body; 0 if it is not known.
 */
internal class BodyCollector(private val declaredBytes: Int) {
    private var blocks: CompositeByteBuf? = null
    private var last: ByteBuf? = null

    /** Bytes of all blocks. */
    var allocatedBytes = 0L
        private set

    /** Bytes of the body that have been added. */
    var size = 0
        private set

    /** Bytes of new blocks that are needed for [pieceBytes] more. */
    fun bytesToAllocate(pieceBytes: Int): Int {
        val missing = pieceBytes - (last?.writableBytes() ?: 0)
        return if (missing <= 0) 0 else maxOf(missing, nextBlockBytes())
    }

    /** Copies [piece], whose reader index moves to its end. */
    fun add(piece: ByteBuf) {
        val missing = bytesToAllocate(piece.readableBytes())
        size += piece.readableBytes()
        last?.let { it.writeBytes(piece, minOf(it.writableBytes(), piece.readableBytes())) }
        if (missing == 0) return
        val block = Unpooled.directBuffer(missing, missing)
        allocatedBytes += missing
        block.writeBytes(piece)
        closeLast()
        last = block
    }

    /** Returns the body, which the caller of this function releases. */
    fun complete(): ByteBuf {
        closeLast()
        return (blocks ?: Unpooled.EMPTY_BUFFER).also { blocks = null }
    }

    fun release() {
        last?.release()
        last = null
        blocks?.release()
        blocks = null
    }

    private fun closeLast() {
        val block = last ?: return
        val composite = blocks ?: Unpooled.compositeBuffer(MOST_BLOCKS).also { blocks = it }
        composite.addComponent(true, block)
        last = null
    }

    /** Blocks grow with the body, and none is larger than what is left of a declared body. */
    private fun nextBlockBytes(): Int {
        val byGrowth = size.coerceIn(SMALLEST_BLOCK, LARGEST_BLOCK)
        val left = declaredBytes - size - (last?.writableBytes() ?: 0)
        return if (left > 0) minOf(byGrowth, left) else byGrowth
    }

    private companion object {
        const val SMALLEST_BLOCK = 1_024
        const val LARGEST_BLOCK = 65_536
        const val MOST_BLOCKS = 1_024
    }
}
