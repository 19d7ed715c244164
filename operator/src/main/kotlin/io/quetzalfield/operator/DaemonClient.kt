package io.quetzalfield.operator

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.model.RequestId
import io.quetzalfield.support.status.DaemonStatus
import io.quetzalfield.support.status.RequestExplanation
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import okhttp3.HttpUrl.Companion.toHttpUrlOrNull
import okhttp3.OkHttpClient
import okhttp3.Request
import java.io.IOException
import java.util.concurrent.TimeUnit

/** Why the status or explanation of an entry or steward could not be read. */
public data class DaemonError(val message: String)

/** Client of the operator interface of entries and stewards. */
public interface DaemonClient {
    /** Reads the status of [daemon]. */
    public fun status(daemon: ListedInstance): Either<DaemonError, DaemonStatus>

    /** Reads how [daemon] explains [request]; `null` when it does not know the request. */
    public fun explanation(daemon: ListedInstance, request: RequestId): Either<DaemonError, RequestExplanation?>
}

/** A [DaemonClient] over HTTP. */
public class HttpDaemonClient : DaemonClient {
    private val client = OkHttpClient.Builder().callTimeout(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS).build()

    override fun status(daemon: ListedInstance): Either<DaemonError, DaemonStatus> =
        fetch(daemon, listOf("operator", "status"), DaemonStatus.serializer()).flatMap { status ->
            status?.right() ?: DaemonError("it does not serve a status").left()
        }

    override fun explanation(daemon: ListedInstance, request: RequestId): Either<DaemonError, RequestExplanation?> =
        fetch(daemon, listOf("operator", "requests", request.value), RequestExplanation.serializer())

    private fun <T : Any> fetch(
        daemon: ListedInstance,
        path: List<String>,
        serializer: KSerializer<T>,
    ): Either<DaemonError, T?> {
        val base = daemon.operatorAddress?.toHttpUrlOrNull()
            ?: return DaemonError("the platform's list of instances has no operator address for it").left()
        val url = path.fold(base.newBuilder()) { builder, segment -> builder.addPathSegment(segment) }.build()
        return try {
            client.newCall(Request.Builder().url(url).build()).execute().use { response ->
                when {
                    response.code == NOT_FOUND -> null.right()
                    !response.isSuccessful -> DaemonError("it answered ${response.code}").left()
                    else -> answerJson.decodeFromString(serializer, response.body.string()).right()
                }
            }
        } catch (error: IOException) {
            DaemonError("no answer: ${error.message}").left()
        } catch (error: SerializationException) {
            DaemonError("unreadable answer: ${error.message}").left()
        }
    }

    private companion object {
        const val CALL_TIMEOUT_SECONDS = 2L
        const val NOT_FOUND = 404
        val answerJson = Json { ignoreUnknownKeys = true }
    }
}
