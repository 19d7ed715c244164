package io.quetzalfield.entry

import arrow.core.Either
import arrow.core.left
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InterruptionReason
import io.quetzalfield.model.MayHaveRun
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.model.RequestFailure
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.TimeSource

/**
 * The tickets that this incarnation has minted. An operation runs only while the record of its ticket is kept: a ticket
 * whose record was dropped, [retention] after its last change, may have been used.
 */
internal class TicketRegistry(
    private val incarnation: Incarnation,
    retention: Duration = 1.hours,
    largestSize: Int = 65_536,
    timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private val nextNumber = AtomicLong(1)
    private val records = ExpiringMap<Long, OperationRecord>(retention, largestSize, timeSource)

    /** Mints a ticket for one operation of [account]. */
    fun mint(account: ClientAccountId): Ticket {
        val ticket = Ticket(account, incarnation, nextNumber.getAndIncrement())
        records.access(ticket.number) { it.value = OperationRecord(OperationState.NotSent) }
        return ticket
    }

    /** Sends [call] through [sender] if no call was sent under [ticket]; otherwise returns the known outcome. */
    fun runOnce(call: ServiceCall, ticket: Ticket, sender: ServiceSender): Either<RequestFailure, ServiceAnswer> {
        val known = when {
            ticket.account != call.account ->
                NotRun(RefusalReason.INVALID_TICKET, "the ticket belongs to another account").left()

            ticket.incarnation != incarnation ->
                outcomeUnknown("the entry that minted the ticket has gone")

            else -> reserve(call, ticket)
        }
        return known ?: sender.send(call).also { result -> recordResult(call, ticket, result) }
    }

    /** Marks the operation of [ticket] as running, or returns its known outcome if it must not be sent. */
    private fun reserve(call: ServiceCall, ticket: Ticket): Either<RequestFailure, ServiceAnswer>? =
        records.access(ticket.number) { slot ->
            val record = slot.value ?: return@access outcomeUnknown("the ticket is too old")
            val known = record.knownOutcome(call.fingerprint)
            if (known == null) slot.value = OperationRecord(OperationState.Running, call.fingerprint)
            known
        }

    private fun recordResult(call: ServiceCall, ticket: Ticket, result: Either<RequestFailure, ServiceAnswer>) {
        records.access(ticket.number) { it.value = OperationRecord(stateAfter(result), call.fingerprint) }
    }

    private fun outcomeUnknown(message: String): Either<RequestFailure, ServiceAnswer> =
        MayHaveRun(InterruptionReason.OUTCOME_UNKNOWN, message).left()
}
