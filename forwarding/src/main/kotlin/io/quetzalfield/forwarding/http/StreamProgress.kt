package io.quetzalfield.forwarding.http

import io.netty.handler.codec.http.HttpResponse
import io.quetzalfield.model.VersionId
import kotlin.time.Duration

/** What came of an event of an endpoint's stream. */
internal enum class EventVerdict {
    /** The caller has it now. */
    PASSED,

    /** The caller had it before. */
    REPEATED,

    /** An event before it is missing, so that it cannot be passed on. */
    GAP,
}

/**
 * How far the caller has got with a stream, over all attempts.
 *
 * @param resumeAfter the last event that the caller has of an earlier stream.
 */
internal class StreamProgress(private val reply: CallerReply, resumeAfter: Long?) {
    /** Whether the caller has any of this stream. */
    var hasBegun: Boolean = false
        private set

    /** The last event that the caller has. */
    var lastEvent: Long? = resumeAfter
        private set

    /** The version that the stream has begun with; it goes on with no other. */
    var version: VersionId? = null
        private set

    /** Time from the arrival of the request to the first event passed on; `null` before. */
    var firstEventAfter: Duration? = null
        private set

    /** Sends the head of the stream [after] the arrival of its request. The stream goes on with [version] only. */
    fun begin(head: HttpResponse, version: VersionId, after: Duration) {
        hasBegun = true
        firstEventAfter = after
        this.version = version
        reply.sendStreamHead(head)
    }

    /** Says what is to become of [event]; the caller of this function passes it on or releases it. */
    fun judge(event: StreamEvent): EventVerdict {
        val last = lastEvent
        val number = event.number
        return when {
            number == null || last == null -> EventVerdict.PASSED
            number <= last -> EventVerdict.REPEATED
            hasBegun && number != last + 1 -> EventVerdict.GAP
            else -> EventVerdict.PASSED
        }
    }

    /** Passes [event] on. */
    fun pass(event: StreamEvent) {
        if (event.number != null) lastEvent = event.number
        reply.sendStreamPart(event.bytes)
    }
}
