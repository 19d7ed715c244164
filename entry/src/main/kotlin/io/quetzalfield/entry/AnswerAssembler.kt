package io.quetzalfield.entry

import io.quetzalfield.model.AttemptId
import io.quetzalfield.model.InterruptionReason
import io.quetzalfield.model.MayHaveRun
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.engine.COMPLETION_ID_PREFIX
import io.quetzalfield.store.engine.ChatCompletionChunk
import io.quetzalfield.store.engine.STREAM_END
import io.quetzalfield.store.engine.TokenUsage
import kotlinx.serialization.SerializationException
import okhttp3.Response
import okhttp3.sse.EventSource
import okhttp3.sse.EventSourceListener
import java.io.IOException
import java.io.InterruptedIOException

/** Stops reading a stream that contains a fault. */
private class BrokenStreamException(message: String) : RuntimeException(message)

/**
 * Assembles the answer of one attempt from its event stream. Chunks must have the attempt's id and arrive in order. The
 * answer is complete only with a finish reason, a usage that matches the number of tokens, and the end marker.
 */
internal class AnswerAssembler(attempt: AttemptId, firstOffset: Int, private val onToken: (AnswerToken) -> Unit) :
    EventSourceListener() {
    private val expectedId = COMPLETION_ID_PREFIX + attempt.value
    private var nextOffset = firstOffset
    private var finishReason: String? = null
    private var usage: TokenUsage? = null
    private var hasEnded = false
    private var fault: String? = null
    private var aborted: AttemptAbortedException? = null
    private var isBroken = false
    private var isLate = false

    override fun onEvent(eventSource: EventSource, id: String?, type: String?, data: String) {
        if (fault != null) return
        if (data == STREAM_END) {
            hasEnded = true
            return
        }
        val chunk = try {
            PlatformJson.decodeFromString(ChatCompletionChunk.serializer(), data)
        } catch (error: SerializationException) {
            fault = "unreadable chunk: ${error.message}"
            return
        }
        accept(chunk)
        fault?.let { throw BrokenStreamException(it) }
    }

    override fun onFailure(eventSource: EventSource, t: Throwable?, response: Response?) {
        if (t is AttemptAbortedException) aborted = t
        if (t is InterruptedIOException) isLate = true
        if (t is IOException) isBroken = true
        if (fault == null) fault = "the stream broke: ${t?.message}"
    }

    /** Returns the outcome of the attempt; call it after the stream has ended. */
    fun result(): AttemptResult {
        aborted?.let { throw it }
        val total = usage
        val reason = finishReason
        val problem = when {
            fault != null -> fault
            !hasEnded || total == null || reason == null -> "the stream ended early, after $nextOffset tokens"
            total.completionTokens != nextOffset -> "$nextOffset tokens of ${total.completionTokens} arrived"
            else -> return AttemptResult.Complete(total, reason)
        }
        val interruption = if (isLate) InterruptionReason.DEADLINE_PASSED else InterruptionReason.ANSWER_INCOMPLETE
        val isCut = !isLate && (isBroken || !hasEnded)
        return AttemptResult.Failed(MayHaveRun(interruption, problem.orEmpty()), isCut = isCut)
    }

    private fun accept(chunk: ChatCompletionChunk) {
        if (chunk.id != expectedId) {
            fault = "a chunk belongs to ${chunk.id}, not to $expectedId"
            return
        }
        chunk.usage?.let { usage = it }
        val choice = chunk.choices.firstOrNull() ?: return
        choice.finishReason?.let { finishReason = it }
        val content = choice.delta.content ?: return
        if (chunk.tokenOffset != null && chunk.tokenOffset != nextOffset) {
            fault = "token ${chunk.tokenOffset} arrived where $nextOffset was due"
            return
        }
        nextOffset++
        onToken(AnswerToken(content, choice.logProbabilities?.content?.firstOrNull()?.logProbability))
    }
}
