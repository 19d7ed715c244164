package io.quetzalfield.entry

import io.javalin.http.Context
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.RequestFailure
import io.quetzalfield.platform.PlatformJson
import io.quetzalfield.platform.engine.COMPLETION_ID_PREFIX
import io.quetzalfield.platform.engine.ChatChoice
import io.quetzalfield.platform.engine.ChatChunkChoice
import io.quetzalfield.platform.engine.ChatCompletion
import io.quetzalfield.platform.engine.ChatCompletionChunk
import io.quetzalfield.platform.engine.ChatDelta
import io.quetzalfield.platform.engine.ChatMessage
import io.quetzalfield.platform.engine.STREAM_END
import io.quetzalfield.support.EventStreamWriter
import java.io.IOException

/** Writes a completion to its caller, as a stream of events or as one body. */
internal class CompletionWriter(
    private val context: Context,
    private val isStreamed: Boolean,
    private val requestId: String,
) : CompletionSink {
    private val events = EventStreamWriter(context)
    private val collected = StringBuilder()
    private val completionId = COMPLETION_ID_PREFIX + requestId
    private var version: ModelVersionReference? = null
    private var tokens = 0

    override fun onStart(version: ModelVersionReference) {
        this.version = version
        context.header(REQUEST_HEADER, requestId).header(VERSION_HEADER, version.toString())
    }

    override fun onToken(text: String) {
        val offset = tokens++
        if (!isStreamed) {
            collected.append(text)
            return
        }
        val choice = ChatChunkChoice(delta = ChatDelta(content = text))
        sendOrGone(chunk().copy(choices = listOf(choice), tokenOffset = offset))
    }

    /** Ends the answer; its bill is stored by now. */
    fun finish(report: CompletionReport) {
        val bill = AnswerBill(report.version.toString(), report.priceMicros, report.isBilled)
        if (isStreamed) finishStream(report, bill) else writeWhole(report, bill)
    }

    /** Reports that there is no whole answer; a stream that has started gets an error event and no end marker. */
    fun fail(failure: RequestFailure) {
        if (events.hasStarted) {
            val body = PlatformJson.encodeToString(ErrorBody.serializer(), failure.toErrorBody(requestId))
            sendOrGone(body)
        } else {
            context.writeFailure(failure, requestId)
        }
    }

    private fun finishStream(report: CompletionReport, bill: AnswerBill) {
        val finish = ChatChunkChoice(finishReason = report.finishReason)
        sendOrGone(chunk().copy(choices = listOf(finish)))
        sendOrGone(PlatformJson.encodeToString(BilledChunk.serializer(), BilledChunk(completionId, report.usage, bill)))
        sendOrGone(STREAM_END)
    }

    private fun writeWhole(report: CompletionReport, bill: AnswerBill) {
        val message = ChatMessage("assistant", collected.toString())
        val completion = ChatCompletion(
            id = completionId,
            model = report.version.toString(),
            choices = listOf(ChatChoice(message = message, finishReason = report.finishReason)),
            usage = report.usage,
        )
        context.header(BILL_HEADER, PlatformJson.encodeToString(AnswerBill.serializer(), bill))
        context.answerJson(ChatCompletion.serializer(), completion)
    }

    private fun chunk() = ChatCompletionChunk(completionId, model = version.toString())

    private fun sendOrGone(chunk: ChatCompletionChunk) {
        sendOrGone(PlatformJson.encodeToString(ChatCompletionChunk.serializer(), chunk))
    }

    private fun sendOrGone(line: String) {
        try {
            events.send(line)
        } catch (error: IOException) {
            throw CallerGoneException(error)
        }
    }
}
