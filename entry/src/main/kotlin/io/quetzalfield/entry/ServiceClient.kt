package io.quetzalfield.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.quetzalfield.model.AttemptId
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.InterruptionReason
import io.quetzalfield.model.MayHaveRun
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.model.RequestFailure
import io.quetzalfield.model.ServiceId
import io.quetzalfield.store.InvalidHeadInterceptor
import io.quetzalfield.store.engine.REQUEST_ID_HEADER
import okhttp3.ConnectionPool
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException
import java.net.ConnectException
import java.util.UUID
import java.util.concurrent.TimeUnit

/** One call of an operation of a plain service. */
public data class ServiceCall(
    val account: ClientAccountId,
    val service: ServiceId,
    val operation: String,
    val body: ByteArray,
    val contentType: String,
) {
    /** A hash of everything that distinguishes this call from others of the account. */
    internal val fingerprint: String
        get() = sha256("$service\n$operation\n$contentType\n${body.decodeToString()}")
}

/** The answer of a plain service. */
public class ServiceAnswer(public val status: Int, public val contentType: String, public val body: ByteArray)

/** Sends calls to plain services without retries. */
public fun interface ServiceSender {
    /** Sends [call] once. */
    public fun send(call: ServiceCall): Either<RequestFailure, ServiceAnswer>
}

/** Sends calls to live instances over HTTP. A call is not sent again after a connection fault or an error answer. */
public class ServiceClient(private val fleet: FleetView, client: OkHttpClient) : ServiceSender {
    private val client = client.newBuilder()
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        // OkHttp takes whatever a service has sent on an idle connection for the answer to the next call.
        .connectionPool(ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
        .addNetworkInterceptor(UnwrittenRequestInterceptor)
        .addNetworkInterceptor(InvalidHeadInterceptor)
        // OkHttp repeats a request by itself after a 503 whose Retry-After header is 0.
        .addNetworkInterceptor { chain ->
            chain.proceed(chain.request()).newBuilder().removeHeader("Retry-After").build()
        }
        .callTimeout(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .build()

    override fun send(call: ServiceCall): Either<RequestFailure, ServiceAnswer> {
        val instance = fleet.serviceInstances(call.service).randomOrNull()
            ?: return NotRun(RefusalReason.NO_RUNNER, "no instance of ${call.service} is live").left()
        val request = Request.Builder()
            .url("${instance.address}/operations/${call.operation}")
            .header(REQUEST_ID_HEADER, AttemptId(UUID.randomUUID().toString()).value)
            .post(call.body.toRequestBody(call.contentType.toMediaType()))
            .build()
        return try {
            client.newCall(request).execute().use { response ->
                ServiceAnswer(response.code, response.header("Content-Type").orEmpty(), response.body.bytes()).right()
            }
        } catch (error: ConnectException) {
            NotRun(RefusalReason.NO_RUNNER, "${call.service} cannot be reached: ${error.message}").left()
        } catch (error: IOException) {
            MayHaveRun(InterruptionReason.CONNECTION_LOST, "${call.service}: ${error.message}").left()
        }
    }

    private companion object {
        const val CALL_TIMEOUT_SECONDS = 30L
    }
}
