package io.quetzalfield.standins

import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.engine.ChatCompletionRequest
import io.quetzalfield.store.engine.STREAM_END
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import okhttp3.sse.EventSource
import okhttp3.sse.EventSourceListener
import okhttp3.sse.EventSources
import java.io.IOException
import java.net.ConnectException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** The failure of a request as an error body states it: a [code], and whether the request [ran], `no` or `unknown`. */
@Serializable
public data class FailureStatement(val code: String, val message: String, val ran: String)

/**
 * A streamed answer as the caller received it; [error] is `null` when it is complete.
 *
 * @property statement the failure that an error body or error event stated.
 * @property isUnreachable whether the connection could not be established.
 */
public data class CallerAnswer(
    val status: Int,
    val text: String,
    val version: String?,
    val priceMicros: Long,
    val isBilled: Boolean,
    val untilFirstToken: Duration?,
    val untilEnd: Duration,
    val error: String?,
    val statement: FailureStatement? = null,
    val isUnreachable: Boolean = false,
)

/** The response to a call that is not streamed. */
public data class CallerReply(val status: Int, val body: String)

/** A session as the entry opened it. */
@Serializable
public data class ReceivedSession(val session: String, val token: String, val version: String, val revision: Long = 0)

@Serializable
private data class ReceivedAddress(val address: String)

@Serializable
private data class ReceivedAddresses(val addresses: List<ReceivedAddress>)

@Serializable
private data class ReceivedTicket(val ticket: String)

@Serializable
private data class ReceivedDelta(val content: String? = null)

@Serializable
private data class ReceivedChoice(val delta: ReceivedDelta = ReceivedDelta())

@Serializable
private data class ReceivedBill(
    @SerialName("price_micros") val priceMicros: Long,
    @SerialName("is_billed") val isBilled: Boolean,
)

@Serializable
private data class ReceivedErrorBody(val error: FailureStatement)

/** Parses [text] as an error body; `null` when it is not one. */
public fun readFailureStatement(text: String): FailureStatement? = try {
    PlatformJson.decodeFromString(ReceivedErrorBody.serializer(), text).error
} catch (_: SerializationException) {
    null
}

@Serializable
private data class ReceivedEvent(
    val choices: List<ReceivedChoice> = emptyList(),
    val bill: ReceivedBill? = null,
    val error: FailureStatement? = null,
)

/** A client of the entry at [address], as a client account would implement it. */
public class CallerClient(private val address: String, client: OkHttpClient = sharedClient) {
    private val client = client

    /** Whether the entry reports that it is ready. */
    public fun isReady(): Boolean = try {
        client.newCall(Request.Builder().url("$address/health/ready").build()).execute().use(Response::isSuccessful)
    } catch (_: IOException) {
        false
    }

    /** Reads the addresses to use, best first. */
    public fun addresses(): List<String> {
        val reply = get("/v1/addresses")
        return PlatformJson.decodeFromString(ReceivedAddresses.serializer(), reply.body).addresses.map { it.address }
    }

    /** Opens a session for requests of [kind]. */
    public fun openSession(apiKey: String, kind: String): ReceivedSession {
        val reply = post("/v1/sessions", apiKey, """{"model":"auto","kind":"$kind"}""")
        return PlatformJson.decodeFromString(ReceivedSession.serializer(), reply.body)
    }

    /** Opens a session for requests of [kind] and returns its token. */
    public fun openSessionToken(apiKey: String, kind: String): String = openSession(apiKey, kind).token

    /** Requests a ticket for one non-idempotent operation. */
    public fun mintTicket(apiKey: String): String =
        PlatformJson.decodeFromString(ReceivedTicket.serializer(), post("/v1/tickets", apiKey, "").body).ticket

    /** Calls [operation] of the plain service [service]. */
    public fun callService(
        apiKey: String,
        service: String,
        operation: String,
        ticket: String?,
        body: String,
    ): CallerReply {
        val headers = listOfNotNull(ticket?.let { "Quetzalfield-Ticket" to it }).toMap()
        return post("/v1/services/$service/$operation", apiKey, body, headers)
    }

    /** Posts [body] to [path] and returns the unparsed response. */
    public fun post(
        path: String,
        apiKey: String?,
        body: String,
        headers: Map<String, String> = emptyMap(),
    ): CallerReply = client.newCall(request(path, apiKey, body, headers)).execute().use { response ->
        CallerReply(response.code, response.body.string())
    }

    /** Gets [path] and returns the unparsed response. */
    public fun get(path: String): CallerReply =
        client.newCall(Request.Builder().url(address + path).build()).execute().use { response ->
            CallerReply(response.code, response.body.string())
        }

    /** Requests a streamed completion and reads the answer to its end; [onToken] gets the index of each token. */
    public fun complete(
        apiKey: String,
        body: ChatCompletionRequest,
        kind: String? = null,
        session: String? = null,
        key: String? = null,
        onToken: (Int) -> Unit = {},
    ): CallerAnswer {
        val headers = listOfNotNull(
            kind?.let { "Quetzalfield-Kind" to it },
            session?.let { "Quetzalfield-Session" to it },
            key?.let { "Idempotency-Key" to it },
        ).toMap()
        val json = PlatformJson.encodeToString(ChatCompletionRequest.serializer(), body)
        val reader = AnswerReader(TimeSource.Monotonic.markNow(), onToken)
        return try {
            client.newCall(request("/v1/chat/completions", apiKey, json, headers)).execute().use(reader::read)
        } catch (error: ConnectException) {
            reader.failedAnswer("${error.message}").copy(isUnreachable = true)
        } catch (error: IOException) {
            reader.failedAnswer("${error.message}")
        }
    }

    private fun request(path: String, apiKey: String?, body: String, headers: Map<String, String>): Request {
        val builder = Request.Builder().url(address + path).post(body.toRequestBody(JSON_MEDIA_TYPE))
        apiKey?.let { builder.header("Authorization", "Bearer $it") }
        headers.forEach { (name, value) -> builder.header(name, value) }
        return builder.build()
    }

    private companion object {
        val JSON_MEDIA_TYPE = "application/json".toMediaType()
        val sharedClient = OkHttpClient.Builder()
            .retryOnConnectionFailure(false)
            .readTimeout(1, TimeUnit.MINUTES)
            .build()
    }
}

/** Reads the events of one streamed answer. */
private class AnswerReader(private val started: TimeMark, private val onToken: (Int) -> Unit) : EventSourceListener() {
    private val text = StringBuilder()
    private var tokens = 0
    private var status = 0
    private var version: String? = null
    private var bill: ReceivedBill? = null
    private var error: String? = null
    private var statement: FailureStatement? = null
    private var hasEnded = false
    private var untilFirstToken: Duration? = null

    fun read(response: Response): CallerAnswer {
        status = response.code
        version = response.header("Quetzalfield-Version")
        if (response.isSuccessful) EventSources.processResponse(response, this) else onRefusal(response.body.string())
        if (!hasEnded && error == null) error = "the stream ended early"
        return answer()
    }

    private fun onRefusal(body: String) {
        error = body
        statement = readFailureStatement(body)
    }

    fun failedAnswer(message: String): CallerAnswer {
        error = message
        return answer()
    }

    override fun onEvent(eventSource: EventSource, id: String?, type: String?, data: String) {
        if (data == STREAM_END) {
            hasEnded = true
            return
        }
        val event = PlatformJson.decodeFromString(ReceivedEvent.serializer(), data)
        event.bill?.let { bill = it }
        event.error?.let {
            error = "${it.code}: ${it.message}, ran ${it.ran}"
            statement = it
        }
        event.choices.firstOrNull()?.delta?.content?.let(::addToken)
    }

    override fun onFailure(eventSource: EventSource, t: Throwable?, response: Response?) {
        error = "the stream broke: ${t?.message}"
    }

    private fun addToken(content: String) {
        if (untilFirstToken == null) untilFirstToken = started.elapsedNow()
        text.append(content)
        onToken(tokens++)
    }

    private fun answer(): CallerAnswer = CallerAnswer(
        status = status,
        text = text.toString(),
        version = version,
        priceMicros = bill?.priceMicros ?: 0,
        isBilled = bill?.isBilled ?: false,
        untilFirstToken = untilFirstToken,
        untilEnd = started.elapsedNow(),
        error = error,
        statement = statement,
    )
}
