package io.quetzalfield.support

import io.javalin.http.Context

/** The bytes of one server-sent event whose data is [line], a text without line breaks. */
public fun eventFrame(line: String): ByteArray = "data: $line\n\n".encodeToByteArray()

/**
 * Writes server-sent events as the response to [context], each flushed at once. Javalin's own support for such events
 * is limited to GET requests.
 *
 * @throws java.io.IOException from [send] when the client has disconnected.
 */
public class EventStreamWriter(private val context: Context) {
    /** Whether an event has been sent, so that status and headers can no longer change. */
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
