package io.quetzalfield.entry

import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.store.engine.ChatChunkChoice
import io.quetzalfield.store.engine.TokenUsage
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Header that carries the session token. */
public const val SESSION_HEADER: String = "Quetzalfield-Session"

/** Header that carries the caller's name for the sort of request. */
public const val KIND_HEADER: String = "Quetzalfield-Kind"

/** Header that carries a ticket for a non-idempotent operation. */
public const val TICKET_HEADER: String = "Quetzalfield-Ticket"

/** Header that carries the caller's own idempotency key. */
public const val IDEMPOTENCY_KEY_HEADER: String = "Idempotency-Key"

/** Header of an answer that names the request for [explanations][ErrorDetail.requestId]. */
public const val REQUEST_HEADER: String = "Quetzalfield-Request"

/** Header of an answer that names the model version which gave it. */
public const val VERSION_HEADER: String = "Quetzalfield-Version"

/** The model name that lets the plan decide. */
public const val AUTOMATIC_MODEL: String = "auto"

/** Asks for a session. */
@Serializable
public data class OpenSessionRequest(val model: String = AUTOMATIC_MODEL, val kind: String = "general")

/** A session that was opened. */
@Serializable
public data class OpenSessionAnswer(val session: String, val token: String, val version: String, val revision: Long)

/** A ticket that was minted. */
@Serializable
public data class TicketAnswer(val ticket: String)

/** One address that callers may use. */
@Serializable
public data class EntryAddress(val address: String, @SerialName("failure_domain") val failureDomain: FailureDomainId)

/** The addresses to use, best first, and how long the answer may be kept. */
@Serializable
public data class AddressAnswer(
    val addresses: List<EntryAddress>,
    @SerialName("valid_for_seconds") val validForSeconds: Long,
)

/**
 * What the last event of a streamed answer, or the end of a whole one, says beside the interface's own fields.
 *
 * @property priceMicros price in millionths of the operators' currency.
 * @property isBilled `false` when an earlier answer to the same key was billed.
 */
@Serializable
public data class AnswerBill(
    val version: String,
    @SerialName("price_micros") val priceMicros: Long,
    @SerialName("is_billed") val isBilled: Boolean,
)

/** Header of a whole answer that carries its [AnswerBill]. */
public const val BILL_HEADER: String = "Quetzalfield-Bill"

/** The last event but one of a streamed answer: its length and its bill. */
@Serializable
public data class BilledChunk(
    val id: String,
    val usage: TokenUsage,
    val bill: AnswerBill,
    val choices: List<ChatChunkChoice> = emptyList(),
    val `object`: String = "chat.completion.chunk",
)
