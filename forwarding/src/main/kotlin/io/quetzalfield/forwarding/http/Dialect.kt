package io.quetzalfield.forwarding.http

import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.quetzalfield.decision.fingerprintOf
import io.quetzalfield.forwarding.endpoints.EndpointId
import io.quetzalfield.forwarding.endpoints.EndpointLoad
import io.quetzalfield.forwarding.endpoints.EndpointStatement
import io.quetzalfield.forwarding.endpoints.PromptPart
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.ModelId
import io.quetzalfield.model.RequestId
import io.quetzalfield.model.SessionId
import kotlin.time.Duration

/**
 * The decoded head of a caller's request.
 *
 * @property id the id that the caller assigned to this attempt; each of its attempts has a different id.
 * @property timeout how long the caller waits for the answer.
 * @property apiKey the API key that the caller sent.
 * @property model the model that the caller names; `null` if it names none or leaves the choice to the router.
 * @property isModelOpen whether the caller leaves the choice of the model to the router.
 * @property prompt the parts of the prompt in order.
 * @property lastEventId number of the last event that the caller has received of an earlier stream.
 */
public data class RequestHead(
    val id: RequestId?,
    val host: String,
    val path: String,
    val timeout: Duration?,
    val apiKey: String?,
    val model: ModelId?,
    val isModelOpen: Boolean,
    val prompt: List<PromptPart>,
    val session: SessionId?,
    val lastEventId: Long?,
) {
    /**
     * Ids of the parts that other requests may share, the last ones if there are many; the last part of a prompt
     * belongs to the request or its session alone.
     */
    val sharedParts: List<String> by lazy {
        prompt.dropLast(1).map(PromptPart::id).filter(String::isNotEmpty).distinct().takeLast(MAXIMUM_SHARED_PARTS)
            .map { if (it.length > LONGEST_PART_ID) fingerprintOf(it).value else it }
    }

    private companion object {
        /** Several times the parts of the usual prompts. */
        const val MAXIMUM_SHARED_PARTS = 16

        /** Characters; longer ids are replaced by their hashes, so that what is kept of them is bounded. */
        const val LONGEST_PART_ID = 40
    }
}

/**
 * The header values that one attempt adds to the caller's request.
 *
 * @property expected the endpoint that the attempt is addressed to.
 * @property remaining time left until the request's deadline.
 * @property model the model to run; `null` keeps the one that the caller named.
 * @property resumeAfter number of the last event that the caller has.
 * @property urgency urgency among the endpoint's requests; 0 is the most urgent.
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
 * The decoded head of an endpoint's response.
 *
 * @property isSigned whether the response has the runner's signature.
 * @property isAmbiguous whether the head has different request ids or signatures, as that of two responses.
 * @property isNotRun whether the runner states that the request did not run.
 * @property isMisdirected whether a runner other than the expected one responded, without running the request.
 * @property confidence the model's confidence in its answer, from 0 to 100.
 * @property statement what the endpoint states about itself.
 */
public data class ResponseHead(
    val status: Int,
    val requestId: RequestId?,
    val isSigned: Boolean,
    val isAmbiguous: Boolean,
    val isNotRun: Boolean,
    val isMisdirected: Boolean,
    val confidence: Int?,
    val load: EndpointLoad?,
    val statement: EndpointStatement = EndpointStatement(),
) {
    /** Whether the status is a server error. */
    val isFailure: Boolean get() = status >= FIRST_SERVER_ERROR

    private companion object {
        const val FIRST_SERVER_ERROR = 500
    }
}

/** Decodes and encodes the HTTP headers of callers and endpoints; implemented by the platform adapter. */
public interface HeaderCodec {
    /** Decodes the head of a caller's [request]. */
    public fun decodeRequest(request: HttpRequest): RequestHead

    /** Encodes one attempt: the end-to-end headers of the caller's [request] and the headers of [attempt]. */
    public fun encodeAttempt(request: HttpRequest, bodyBytes: Int, attempt: AttemptHead): HttpRequest

    /** Decodes the head of an endpoint's [response]. */
    public fun decodeResponse(response: HttpResponse): ResponseHead
}

/** The interface by which callers query addresses and the platform queries readiness. */
public interface DirectoryCodec {
    /** Whether [uri] is a query for the addresses to use. */
    public fun isAddressRequest(uri: String): Boolean

    /** Encodes the body of an answer with [addresses], which a caller may cache for [validity]. */
    public fun encodeAddresses(addresses: List<String>, validity: Duration): ByteArray

    /** Whether [uri] is a query for the readiness of this instance. */
    public fun isReadinessRequest(uri: String): Boolean
}
