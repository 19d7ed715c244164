package io.quetzalfield.forwarding

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.Appender
import org.apache.logging.log4j.core.LogEvent
import org.apache.logging.log4j.core.appender.AbstractAppender
import org.apache.logging.log4j.core.appender.AsyncAppender
import org.apache.logging.log4j.core.config.AbstractConfiguration
import org.apache.logging.log4j.core.config.AppenderRef
import org.apache.logging.log4j.core.config.ConfigurationSource
import org.apache.logging.log4j.core.config.Configurator
import org.apache.logging.log4j.core.config.Property
import java.io.FileDescriptor
import java.io.FileOutputStream
import java.io.OutputStream
import java.util.concurrent.atomic.AtomicLong

/**
 * The log of a router process: lines on standard output, `TIME LEVEL MESSAGE` with the time in Unix milliseconds.
 *
 * Lines are buffered for the thread that writes them. When the buffer is full they are dropped and counted, so that a
 * reader of standard output that has stopped cannot block requests. The log is configured in code because reading a
 * configuration file took two fifths of the start-up time.
 */
public object RouterLog {
    private val dropped = AtomicLong()

    /** Number of lines dropped since the start of the process. */
    public val droppedLines: Long get() = dropped.get()

    /** Configures the log. Must be called before anything is logged. */
    public fun start() {
        val output = OutputAppender(FileOutputStream(FileDescriptor.out))
        Configurator.initialize(RouterLog::class.java.classLoader, configuration(output, BUFFERED_LINES))
    }

    /** Returns a configuration that writes to [output] through a buffer of [bufferedLines] lines. */
    internal fun configuration(output: Appender, bufferedLines: Int): LogConfiguration =
        LogConfiguration(output, DropCounter(), bufferedLines)

    private class DropCounter : AbstractAppender(DROPPED, null, null, true, Property.EMPTY_ARRAY) {
        override fun append(event: LogEvent) {
            dropped.incrementAndGet()
        }
    }

    /** Writes lines to [stream], on the thread that empties the buffer. */
    internal class OutputAppender(private val stream: OutputStream) :
        AbstractAppender(OUTPUT, null, null, true, Property.EMPTY_ARRAY) {
        override fun append(event: LogEvent) {
            val line = "${event.timeMillis} ${event.level} ${event.message.formattedMessage}\n"
            stream.write(line.toByteArray())
        }
    }

    /** Sends lines of level INFO and above to a buffer in front of [output], and to [overflow] when it is full. */
    internal class LogConfiguration(
        private val output: Appender,
        private val overflow: Appender,
        private val bufferedLines: Int,
    ) : AbstractConfiguration(null, ConfigurationSource.NULL_SOURCE) {
        override fun doConfigure() {
            addAppender(output)
            addAppender(overflow)
            val buffer = AsyncAppender.newBuilder()
                .setName(BUFFER)
                .setAppenderRefs(arrayOf(AppenderRef.createAppenderRef(output.name, null, null)))
                .setErrorRef(overflow.name)
                .setBlocking(false)
                .setShutdownTimeout(SHUTDOWN_MILLISECONDS)
                .setBufferSize(bufferedLines)
                .setConfiguration(this)
                .build()
            addAppender(buffer)
            isShutdownHookEnabled = false
            rootLogger.level = Level.INFO
            rootLogger.addAppender(buffer, null, null)
        }
    }

    private const val OUTPUT = "output"
    private const val BUFFER = "buffer"
    private const val DROPPED = "dropped"

    /** Time for which the shutdown of the process waits for buffered lines to be written. */
    private const val SHUTDOWN_MILLISECONDS = 200L

    /** About two seconds of lines at 4,000 per second, or 2 MB. */
    private const val BUFFERED_LINES = 8_192
}
