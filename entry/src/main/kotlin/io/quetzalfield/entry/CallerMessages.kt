package io.quetzalfield.entry

import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.store.engine.ChatChunkChoice
import io.quetzalfield.store.engine.TokenUsage
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Request header with the session token. */
public const val SESSION_HEADER: String = "Quetzalfield-Session"

/** Request header with the caller's name for the kind of request. */
public const val KIND_HEADER: String = "Quetzalfield-Kind"

/** Request header with a ticket for a non-idempotent operation. */
public const val TICKET_HEADER: String = "Quetzalfield-Ticket"

/** Request header with the caller's idempotency key. */
public const val IDEMPOTENCY_KEY_HEADER: String = "Idempotency-Key"

/** Answer header with the request id for [explanations][ErrorDetail.requestId]. */
public const val REQUEST_HEADER: String = "Quetzalfield-Request"

/** Answer header with the model version that generated the answer. */
public const val VERSION_HEADER: String = "Quetzalfield-Version"

/** The model name that leaves the choice of the model to the plan. */
public const val AUTOMATIC_MODEL: String = "auto"

/** A request to open a session. */
@Serializable
public data class OpenSessionRequest(val model: String = AUTOMATIC_MODEL, val kind: String = "general")

/** The answer to [OpenSessionRequest]: the session that was opened. */
@Serializable
public data class OpenSessionAnswer(val session: String, val token: String, val version: String, val revision: Long)

/** The answer to a request for a ticket: the ticket that was minted. */
@Serializable
public data class TicketAnswer(val ticket: String)

/** The address of an entry that callers may use. */
@Serializable
public data class EntryAddress(val address: String, @SerialName("failure_domain") val failureDomain: FailureDomainId)

/** The addresses to use, best first, and the time for which the answer may be cached, in seconds. */
@Serializable
public data class AddressAnswer(
    val addresses: List<EntryAddress>,
    @SerialName("valid_for_seconds") val validForSeconds: Long,
)

/**
 * The price of an answer, sent in the last event but one of a streamed answer or in [BILL_HEADER] of a whole one.
 *
 * @property priceMicros price in millionths of the operators' currency.
 * @property isBilled `false` if an earlier answer for the same key was billed.
 */
@Serializable
public data class AnswerBill(
    val version: String,
    @SerialName("price_micros") val priceMicros: Long,
    @SerialName("is_billed") val isBilled: Boolean,
)

/** Header of a whole answer with its [AnswerBill] as JSON. */
public const val BILL_HEADER: String = "Quetzalfield-Bill"

/** The last event but one of a streamed answer, with its token usage and its bill. */
@Serializable
public data class BilledChunk(
    val id: String,
    val usage: TokenUsage,
    val bill: AnswerBill,
    val choices: List<ChatChunkChoice> = emptyList(),
    val `object`: String = "chat.completion.chunk",
)
