package io.quetzalfield.forwarding.http

import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.quetzalfield.forwarding.endpoints.EndpointId
import io.quetzalfield.forwarding.endpoints.EndpointLoad
import io.quetzalfield.forwarding.endpoints.PromptPart
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.ModelId
import io.quetzalfield.model.RequestId
import io.quetzalfield.model.SessionId
import kotlin.time.Duration

/**
 * What the head of a caller's request says.
 *
 * @property id the caller's id of this attempt of its own; every attempt has another one.
 * @property patience how long the caller waits.
 * @property apiKey the API key that the caller presents.
 * @property model the model that the caller names; `null` when none is named or the choice is left to the router.
 * @property leavesModelOpen whether the caller leaves the choice of the model to the router.
 * @property prompt the parts of the prompt in their order.
 * @property lastEvent the number of the last event that the caller has of an earlier stream.
 */
public data class RequestHead(
    val id: RequestId?,
    val host: String,
    val path: String,
    val patience: Duration?,
    val apiKey: String?,
    val model: ModelId?,
    val leavesModelOpen: Boolean,
    val prompt: List<PromptPart>,
    val session: SessionId?,
    val lastEvent: Long?,
)

/**
 * What one attempt adds to the caller's request.
 *
 * @property remaining what is left of the caller's time.
 * @property model the model to run; `null` leaves the caller's.
 * @property resumeAfter the last event that the caller has.
 * @property urgency urgency among the endpoint's requests, 0 first.
 */
public data class AttemptHead(
    val expected: EndpointId,
    val account: ClientAccountId?,
    val remaining: Duration,
    val model: ModelId?,
    val resumeAfter: Long?,
    val urgency: Int?,
)

/**
 * What the head of an endpoint's response says.
 *
 * @property isSigned whether it bears the runner's signature.
 * @property isNotRun whether the runner states that the request did not run.
 * @property isMisdirected whether another runner than the expected one answered, which did not run the request.
 * @property confidence the model's opinion of its answer, from 0 to 100.
 */
public data class ResponseHead(
    val status: Int,
    val requestId: RequestId?,
    val isSigned: Boolean,
    val isNotRun: Boolean,
    val isMisdirected: Boolean,
    val confidence: Int?,
    val load: EndpointLoad?,
) {
    /** Whether the endpoint answers that it failed. */
    val isFailure: Boolean get() = status >= FIRST_SERVER_ERROR

    private companion object {
        const val FIRST_SERVER_ERROR = 500
    }
}

/** The headers of callers and endpoints, which the adapter of a platform decodes and encodes. */
public interface HeaderDialect {
    /** What [request] of a caller says. */
    public fun decodeRequest(request: HttpRequest): RequestHead

    /** The request of one attempt: the caller's [request] with its headers to be passed on, and those of [attempt]. */
    public fun encodeAttempt(request: HttpRequest, bodyBytes: Int, attempt: AttemptHead): HttpRequest

    /** What [response] of an endpoint says. */
    public fun decodeResponse(response: HttpResponse): ResponseHead
}

/** The interface by which callers ask for addresses and the platform for readiness. */
public interface DirectoryDialect {
    /** Whether [uri] asks which addresses to use. */
    public fun isAddressQuestion(uri: String): Boolean

    /** The body of an answer with [addresses], which a caller may keep for [validity]. */
    public fun encodeAnswer(addresses: List<String>, validity: Duration): ByteArray

    /** Whether [uri] asks whether this instance takes requests. */
    public fun isReadinessQuestion(uri: String): Boolean
}
