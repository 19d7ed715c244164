package io.quetzalfield.support

import io.javalin.http.Context

/** The bytes of one server-sent event whose data is [line], a text without line breaks. */
public fun eventFrame(line: String): ByteArray = "data: $line\n\n".encodeToByteArray()

/**
 * Writes server-sent events as the answer to [context], each flushed at once. Javalin's own client for such events
 * serves GET requests only.
 *
 * @throws java.io.IOException from [send] when the reader has gone.
 */
public class EventStreamWriter(private val context: Context) {
    /** Whether an event was sent, so that status and headers cannot change any more. */
    public var hasStarted: Boolean = false
        private set

    /** Sends one event whose data is [line], a text without line breaks. */
    public fun send(line: String) {
        if (!hasStarted) context.contentType("text/event-stream").header("Cache-Control", "no-store")
        hasStarted = true
        val stream = context.res().outputStream
        stream.write(eventFrame(line))
        stream.flush()
    }
}
