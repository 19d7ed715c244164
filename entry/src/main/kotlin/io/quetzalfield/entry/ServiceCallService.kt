package io.quetzalfield.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.quetzalfield.model.AttemptId
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InterruptionReason
import io.quetzalfield.model.MayHaveRun
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.model.RequestFailure
import io.quetzalfield.model.ServiceId
import io.quetzalfield.platform.engine.REQUEST_ID_HEADER
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException
import java.net.ConnectException
import java.util.UUID
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/** One call of an operation of a plain service. */
public data class ServiceCall(
    val account: ClientAccountId,
    val service: ServiceId,
    val operation: String,
    val body: ByteArray,
    val contentType: String,
)

/** What a service answered. */
public class ServiceAnswer(public val status: Int, public val contentType: String, public val body: ByteArray)

/** Calls plain services; operations under a ticket run at most once. */
public class ServiceCallService(
    private val incarnation: Incarnation,
    private val fleet: FleetView,
    client: OkHttpClient,
) {
    private val client = client.newBuilder()
        .retryOnConnectionFailure(false)
        .callTimeout(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .build()
    private val nextTicket = AtomicLong(1)
    private val usedTickets = ConcurrentHashMap.newKeySet<Long>()

    /** Mints a ticket for one non-idempotent operation of [account]. */
    public fun mintTicket(account: ClientAccountId): Ticket = Ticket(account, incarnation, nextTicket.getAndIncrement())

    /** Runs [call] under [ticket], unless the ticket was used before or belongs to another incarnation. */
    public fun runOnce(call: ServiceCall, ticket: Ticket): Either<RequestFailure, ServiceAnswer> = when {
        ticket.account != call.account ->
            NotRun(RefusalReason.INVALID_TICKET, "the ticket belongs to another account").left()

        ticket.incarnation != incarnation ->
            MayHaveRun(InterruptionReason.OUTCOME_UNKNOWN, "the entry that minted the ticket has gone").left()

        !usedTickets.add(ticket.number) ->
            MayHaveRun(InterruptionReason.OUTCOME_UNKNOWN, "the ticket was used before").left()

        else -> run(call)
    }

    /** Runs [call], which may be repeated. */
    public fun run(call: ServiceCall): Either<RequestFailure, ServiceAnswer> {
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
