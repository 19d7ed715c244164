package io.quetzalfield.entry

import com.google.protobuf.ByteString
import io.grpc.StatusRuntimeException
import io.grpc.stub.StreamObserver
import io.javalin.http.Context
import io.quetzalfield.model.RequestFailure
import io.quetzalfield.peer.wire.ForwardReply
import io.quetzalfield.store.PlatformJson
import java.io.IOException

/** The way back to whoever sent a request: its caller, or the entry that forwarded it. */
internal interface AnswerChannel {
    /** Whether status and headers are settled. */
    val hasStarted: Boolean

    /** Settles status and headers; called once, before the first [write]. */
    fun start(status: Int, headers: Map<String, String>)

    /**
     * Sends the next bytes at once.
     *
     * @throws CallerDisconnectedException when nobody reads them any more.
     */
    fun write(bytes: ByteArray)
}

/** The way back over the caller's own connection. */
internal class ContextAnswerChannel(private val context: Context) : AnswerChannel {
    override var hasStarted: Boolean = false
        private set

    override fun start(status: Int, headers: Map<String, String>) {
        hasStarted = true
        context.status(status)
        headers.forEach { (name, value) -> context.header(name, value) }
    }

    override fun write(bytes: ByteArray) {
        try {
            val stream = context.res().outputStream
            stream.write(bytes)
            stream.flush()
        } catch (error: IOException) {
            throw CallerDisconnectedException(error)
        }
    }
}

/** The way back to the entry that forwarded the request. */
internal class PeerAnswerChannel(private val observer: StreamObserver<ForwardReply>) : AnswerChannel {
    override var hasStarted: Boolean = false
        private set

    override fun start(status: Int, headers: Map<String, String>) {
        hasStarted = true
        send(ForwardReply.newBuilder().setStatus(status).putAllHeaders(headers).build())
    }

    override fun write(bytes: ByteArray) {
        send(ForwardReply.newBuilder().setBody(ByteString.copyFrom(bytes)).build())
    }

    private fun send(reply: ForwardReply) {
        try {
            observer.onNext(reply)
        } catch (error: StatusRuntimeException) {
            throw CallerDisconnectedException(IOException(error))
        }
    }
}

/** Answers with [failure] as the whole body. */
internal fun AnswerChannel.fail(failure: RequestFailure, requestId: String?) {
    val body = failure.toErrorBody(requestId)
    val retryAfter = body.error.retryAfterSeconds?.let { mapOf("Retry-After" to "$it") }.orEmpty()
    start(failure.status, retryAfter + (CONTENT_TYPE_HEADER to JSON_CONTENT_TYPE))
    write(PlatformJson.encodeToString(ErrorBody.serializer(), body).encodeToByteArray())
}

internal const val CONTENT_TYPE_HEADER = "Content-Type"
internal const val JSON_CONTENT_TYPE = "application/json"
internal const val EVENT_STREAM_CONTENT_TYPE = "text/event-stream"
