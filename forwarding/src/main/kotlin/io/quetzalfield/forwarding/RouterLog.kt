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
 * Lines wait in a buffer for the thread that writes them. When it is full they are dropped and counted, so that a
 * reader of standard output that has stopped cannot hold up requests. The log is set up in code: reading a
 * configuration file took two fifths of a start.
 */
public object RouterLog {
    private val dropped = AtomicLong()

    /** Lines that were dropped since the start of the process. */
    public val droppedLines: Long get() = dropped.get()

    /** Sets up the log. Call it before anything is logged. */
    public fun start() {
        val output = OutputAppender(FileOutputStream(FileDescriptor.out))
        Configurator.initialize(RouterLog::class.java.classLoader, configuration(output, BUFFERED_LINES))
    }

    /** A configuration that writes to [output] through a buffer of [bufferedLines] lines. */
    internal fun configuration(output: Appender, bufferedLines: Int): LogConfiguration =
        LogConfiguration(output, DropCounter(), bufferedLines)

    private class DropCounter : AbstractAppender(DROPPED, null, null, true, Property.EMPTY_ARRAY) {
        override fun append(event: LogEvent) {
            dropped.incrementAndGet()
        }
    }

    /** Writes lines to [stream]; runs on the thread behind the buffer. */
    internal class OutputAppender(private val stream: OutputStream) :
        AbstractAppender(OUTPUT, null, null, true, Property.EMPTY_ARRAY) {
        override fun append(event: LogEvent) {
            val line = "${event.timeMillis} ${event.level} ${event.message.formattedMessage}\n"
            stream.write(line.toByteArray())
        }
    }

    /** Everything at level INFO and above goes to the buffer in front of [output]; what does not fit, to [overflow]. */
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

    /** Time for which the end of the process waits for lines that are not written yet. */
    private const val SHUTDOWN_MILLISECONDS = 200L

    /** About two seconds of lines at 4,000 a second, or 2 MB. */
    private const val BUFFERED_LINES = 8_192
}
