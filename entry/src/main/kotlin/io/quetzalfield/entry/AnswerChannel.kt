package io.quetzalfield.entry

import com.google.protobuf.ByteString
import io.grpc.StatusRuntimeException
import io.grpc.stub.ServerCallStreamObserver
import io.grpc.stub.StreamObserver
import io.javalin.http.Context
import io.quetzalfield.model.RequestFailure
import io.quetzalfield.peer.wire.ForwardReply
import io.quetzalfield.store.PlatformJson
import java.io.IOException

/** Writes an answer to the sender of the request: its caller, or the entry that forwarded it. */
internal interface AnswerChannel {
    /** Whether status and headers have been set. */
    val hasStarted: Boolean

    /** Sets status and headers; called once, before the first [write]. */
    fun start(status: Int, headers: Map<String, String>)

    /**
     * Sends [bytes] without buffering.
     *
     * @throws CallerDisconnectedException if the sender of the request has disconnected.
     */
    fun write(bytes: ByteArray)

    /**
     * Checks for an answer that is sent as a whole that its receiver is still there, as far as that is known without
     * a write.
     *
     * @throws CallerDisconnectedException if the sender of the request has disconnected.
     */
    fun requireConnected(): Unit = Unit
}

/** Writes the answer to the caller's connection. */
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

/**
 * Streams the answer to the entry that forwarded the request. Once that entry has cancelled the call, it runs the
 * request itself, so that the run here must not be billed. A cancelled call reports no error while its handler runs.
 */
internal class PeerAnswerChannel(private val observer: StreamObserver<ForwardReply>) : AnswerChannel {
    override var hasStarted: Boolean = false
        private set

    override fun start(status: Int, headers: Map<String, String>) {
        hasStarted = true
        send(ForwardReply.newBuilder().setStatus(status).putAllHeaders(headers).build())
    }

    /** Tells the sender that its request is being run. */
    fun acknowledge(): Unit = send(ForwardReply.getDefaultInstance())

    override fun write(bytes: ByteArray) {
        send(ForwardReply.newBuilder().setBody(ByteString.copyFrom(bytes)).build())
    }

    override fun requireConnected() {
        val isCancelled = (observer as? ServerCallStreamObserver)?.isCancelled ?: false
        if (isCancelled) throw CallerDisconnectedException(IOException("the call was cancelled"))
    }

    private fun send(reply: ForwardReply) {
        requireConnected()
        try {
            observer.onNext(reply)
        } catch (error: StatusRuntimeException) {
            throw CallerDisconnectedException(IOException(error))
        }
    }
}

/** Answers with [failure] as the body. */
internal fun AnswerChannel.fail(failure: RequestFailure, requestId: String?) {
    val body = failure.toErrorBody(requestId)
    val retryAfter = body.error.retryAfterSeconds?.let { mapOf("Retry-After" to "$it") }.orEmpty()
    start(failure.status, retryAfter + (CONTENT_TYPE_HEADER to JSON_CONTENT_TYPE))
    write(PlatformJson.encodeToString(ErrorBody.serializer(), body).encodeToByteArray())
}

internal const val CONTENT_TYPE_HEADER = "Content-Type"
internal const val JSON_CONTENT_TYPE = "application/json"
internal const val EVENT_STREAM_CONTENT_TYPE = "text/event-stream"
