package io.quetzalfield.entry

import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.RequestFailure
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.engine.COMPLETION_ID_PREFIX
import io.quetzalfield.store.engine.ChatChoice
import io.quetzalfield.store.engine.ChatChunkChoice
import io.quetzalfield.store.engine.ChatCompletion
import io.quetzalfield.store.engine.ChatCompletionChunk
import io.quetzalfield.store.engine.ChatDelta
import io.quetzalfield.store.engine.ChatMessage
import io.quetzalfield.store.engine.STREAM_END
import io.quetzalfield.support.eventFrame

/** Writes a completion to [channel], as a stream of events or as one body. */
internal class CompletionWriter(
    private val channel: AnswerChannel,
    private val isStreamed: Boolean,
    private val requestId: String,
) : CompletionSink {
    private val collected = StringBuilder()
    private val completionId = COMPLETION_ID_PREFIX + requestId
    private var version: ModelVersionReference? = null
    private var tokens = 0

    override fun onStart(version: ModelVersionReference) {
        this.version = version
    }

    override fun onToken(text: String) {
        val offset = tokens++
        if (!isStreamed) {
            channel.requireConnected()
            collected.append(text)
            return
        }
        val choice = ChatChunkChoice(delta = ChatDelta(content = text))
        sendEvent(chunk().copy(choices = listOf(choice), tokenOffset = offset))
    }

    /** Ends the answer; its bill has been recorded before. */
    fun finish(report: CompletionReport) {
        version = report.version
        val bill = AnswerBill(report.version.toString(), report.priceMicros, report.isBilled)
        if (isStreamed) finishStream(report, bill) else writeWhole(report, bill)
    }

    /** Reports [failure]; a stream that has already started gets an error event and no end marker. */
    fun fail(failure: RequestFailure) {
        if (channel.hasStarted) {
            sendEvent(PlatformJson.encodeToString(ErrorBody.serializer(), failure.toErrorBody(requestId)))
        } else {
            channel.fail(failure, requestId)
        }
    }

    private fun finishStream(report: CompletionReport, bill: AnswerBill) {
        val finish = ChatChunkChoice(finishReason = report.finishReason)
        sendEvent(chunk().copy(choices = listOf(finish)))
        sendEvent(PlatformJson.encodeToString(BilledChunk.serializer(), BilledChunk(completionId, report.usage, bill)))
        sendEvent(STREAM_END)
    }

    private fun writeWhole(report: CompletionReport, bill: AnswerBill) {
        val message = ChatMessage("assistant", collected.toString())
        val completion = ChatCompletion(
            id = completionId,
            model = report.version.toString(),
            choices = listOf(ChatChoice(message = message, finishReason = report.finishReason)),
            usage = report.usage,
        )
        val billHeader = BILL_HEADER to PlatformJson.encodeToString(AnswerBill.serializer(), bill)
        channel.start(OK_STATUS, answerHeaders(JSON_CONTENT_TYPE) + billHeader)
        channel.write(PlatformJson.encodeToString(ChatCompletion.serializer(), completion).encodeToByteArray())
    }

    private fun chunk() = ChatCompletionChunk(completionId, model = version.toString())

    private fun sendEvent(chunk: ChatCompletionChunk) {
        sendEvent(PlatformJson.encodeToString(ChatCompletionChunk.serializer(), chunk))
    }

    private fun sendEvent(line: String) {
        if (!channel.hasStarted) channel.start(OK_STATUS, answerHeaders(EVENT_STREAM_CONTENT_TYPE) + NO_STORE)
        channel.write(eventFrame(line))
    }

    private fun answerHeaders(contentType: String): Map<String, String> = mapOf(
        CONTENT_TYPE_HEADER to contentType,
        REQUEST_HEADER to requestId,
        VERSION_HEADER to version.toString(),
    )

    private companion object {
        const val OK_STATUS = 200
        val NO_STORE = "Cache-Control" to "no-store"
    }
}
