package io.quetzalfield.forwarding

import org.apache.logging.log4j.core.LoggerContext
import java.io.ByteArrayOutputStream
import java.io.OutputStream
import java.util.concurrent.CountDownLatch
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlin.time.measureTime

/** An output that blocks until [resume], like standard output whose reader has stopped. */
private class StalledOutput : OutputStream() {
    private val isResumed = CountDownLatch(1)
    val written = ByteArrayOutputStream()

    override fun write(byte: Int) {
        isResumed.await()
        synchronized(written) { written.write(byte) }
    }

    fun resume() = isResumed.countDown()

    val lines: List<String> get() = synchronized(written) { written.toString() }.lines().filter(String::isNotEmpty)
}

class RouterLogTest {
    private val output = StalledOutput()

    private fun <T> withLog(bufferedLines: Int, action: (LoggerContext) -> T): T {
        val context = LoggerContext("test")
        context.start(RouterLog.configuration(RouterLog.OutputAppender(output), bufferedLines))
        return try {
            action(context)
        } finally {
            output.resume()
            context.stop()
        }
    }

    private fun awaitLines(count: Int) {
        val started = TimeSource.Monotonic.markNow()
        while (output.lines.size < count && started.elapsedNow() < 5.seconds) Thread.sleep(5)
        assertEquals(count, output.lines.size)
    }

    @Test
    fun `lines that do not fit are dropped and counted, without blocking`() = withLog(bufferedLines = 16) { context ->
        val logger = context.getLogger("decisions")
        val before = RouterLog.droppedLines
        val took = measureTime { repeat(1_000) { logger.info("line $it") } }
        assertTrue(took < 2.seconds, "$took")
        val dropped = RouterLog.droppedLines - before
        assertTrue(dropped >= 1_000 - 18, "$dropped dropped")
        output.resume()
        awaitLines(1_000 - dropped.toInt())
    }

    @Test
    fun `a line contains time, level and message`() = withLog(bufferedLines = 16) { context ->
        output.resume()
        context.getLogger("decisions").info("a message")
        awaitLines(1)
        val (time, level, message) = output.lines.single().split(' ', limit = 3)
        assertTrue(time.toLong() > 0)
        assertEquals("INFO", level)
        assertEquals("a message", message)
    }
}
