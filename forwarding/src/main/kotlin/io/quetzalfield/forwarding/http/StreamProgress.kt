package io.quetzalfield.forwarding.http

import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.quetzalfield.model.VersionId
import kotlin.time.Duration

/** What is to be done with an event of an endpoint's stream. */
internal enum class EventDisposition {
    /** The event is forwarded. */
    PASSED,

    /** The caller already has the event. */
    REPEATED,

    /** A preceding event is missing, so the event cannot be forwarded. */
    GAP,

    /** The event has no number, so it cannot be known whether it continues what the caller has. */
    UNNUMBERED,
}

/**
 * The part of a stream that has been sent to the caller, over all attempts.
 *
 * @param resumeAfter number of the last event that the caller has received of an earlier stream.
 */
internal class StreamProgress(private val reply: CallerReply, resumeAfter: Long?) {
    /** Whether any part of this stream has been sent to the caller. */
    var hasBegun: Boolean = false
        private set

    /** Number of the last event that the caller has. */
    var lastEvent: Long? = resumeAfter
        private set

    /** The version that the stream began with; it is continued by endpoints of this version only. */
    var version: VersionId? = null
        private set

    /** Whether all events of this stream had numbers, so that another endpoint can continue it. */
    var isContinuable: Boolean = true
        private set

    private var contentType: String? = null

    /** Time from the arrival of the request to the first forwarded event; `null` before that event. */
    var firstEventAfter: Duration? = null
        private set

    /** Sends the head of the stream, which comes from [version], [after] the arrival of the request. */
    fun begin(head: HttpResponse, version: VersionId, after: Duration) {
        hasBegun = true
        firstEventAfter = after
        this.version = version
        contentType = head.contentType
        reply.sendStreamHead(head)
    }

    /** Whether the response with [head] may continue this stream. */
    fun isContinuedBy(head: HttpResponse): Boolean = head.contentType == contentType

    /**
     * Returns what is to be done with [event], which belongs to a later part of the stream if [isContinuation]. The
     * caller of this function forwards or releases the event.
     */
    fun dispositionOf(event: StreamEvent, isContinuation: Boolean = false): EventDisposition {
        val last = lastEvent
        val number = event.number
        return when {
            number == null && isContinuation -> EventDisposition.UNNUMBERED
            number == null || last == null -> EventDisposition.PASSED
            number <= last -> EventDisposition.REPEATED
            hasBegun && number != last + 1 -> EventDisposition.GAP
            else -> EventDisposition.PASSED
        }
    }

    /** Sends [event] to the caller. */
    fun forward(event: StreamEvent) {
        if (event.number != null) lastEvent = event.number else isContinuable = false
        reply.sendStreamContent(event.bytes)
    }

    private val HttpResponse.contentType: String?
        get() = HttpUtil.getMimeType(this)?.toString()?.trim()?.lowercase()
}
