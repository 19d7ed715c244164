package io.quetzalfield.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import io.quetzalfield.forwarding.choice.FirstAnswer
import io.quetzalfield.forwarding.crashes.CrashCandidate
import io.quetzalfield.model.ModelId
import kotlin.time.ComparableTimeMark

/** How one attempt ended. */
internal sealed interface AttemptOutcome {
    /** The endpoint stated that it did not run the request. */
    data object StatedNotRun : AttemptOutcome

    /** The answer had a low confidence and was discarded; the request goes to the model [larger]. */
    data class LowConfidence(val larger: ModelId) : AttemptOutcome

    /** The endpoint exceeded the silence limit, and the request may be sent to another endpoint. */
    data object Silent : AttemptOutcome

    /**
     * The answer was incomplete or invalid; [candidate] is set if the request may have made the endpoint end. Its
     * connection was opened at [openedAt].
     */
    data class Broken(val candidate: CrashCandidate?, val openedAt: ComparableTimeMark) : AttemptOutcome

    /** The answer is complete. The receiver releases [body]. */
    class Complete(val response: HttpResponse, val head: ResponseHead, val body: ByteBuf) : AttemptOutcome

    /** All events of the stream have been forwarded. */
    data class StreamComplete(val head: ResponseHead) : AttemptOutcome
}

/** Decides on further sends on behalf of an [Attempt] and receives its outcome. */
internal interface AttemptOwner {
    /**
     * Selects a larger model to send the request to instead of forwarding [answer] of [asked], and counts that send
     * against the retry budget. `null` if the answer is to be forwarded.
     */
    fun trySelectLargerModel(asked: ModelId, answer: FirstAnswer): ModelId?

    /** Whether the request may go from a silent endpoint to another one; if so, the retry budget is charged. */
    fun tryLeaveSilentEndpoint(): Boolean

    /** Called when the attempt has ended and its connection has been returned to the pool or closed. */
    fun onEnded(attempt: Attempt, outcome: AttemptOutcome)
}
