package io.quetzalfield.forwarding.intake

import io.netty.buffer.Unpooled
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.random.Random
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class BodyCollectorTest {
    @ParameterizedTest
    @CsvSource(
        "300000, 300000, 1", "300000, 300000, 977", "300000, 0, 1", "300000, 0, 977", "300000, 300000, 65536",
        "300000, 0, 65536", "1, 1, 1", "1024, 1024, 1000", "1025, 0, 1000",
    )
    fun `pieces are copied together in little more memory than their bytes`(size: Int, declared: Int, piece: Int) {
        val bytes = Random(1).nextBytes(size)
        val collector = BodyCollector(declared)
        for (start in 0 until size step piece) {
            val part = Unpooled.wrappedBuffer(bytes, start, minOf(piece, size - start))
            val before = collector.allocatedBytes
            val promised = collector.bytesToAllocate(part.readableBytes())
            collector.add(part)
            assertEquals(before + promised, collector.allocatedBytes)
        }
        val most = if (declared > 0) declared else maxOf(1_024, minOf(2 * size, size + 65_536))
        assertTrue(collector.allocatedBytes <= most, "${collector.allocatedBytes} bytes")
        val body = collector.complete()
        val received = ByteArray(body.readableBytes()).also(body::readBytes)
        assertContentEquals(bytes, received)
        assertTrue(body.release())
    }
}
