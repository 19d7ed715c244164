package io.quetzalfield.entry

import arrow.core.Either
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.RequestFailure
import io.quetzalfield.model.RequestKey
import io.quetzalfield.store.KeyValueStore

/** Calls plain services; operations with a ticket or a caller's key run at most once. */
public class ServiceCallService(
    private val incarnation: Incarnation,
    private val sender: ServiceSender,
    store: KeyValueStore,
) {
    private val tickets = TicketRegistry(incarnation)
    private val claims = ClaimRegistry(incarnation, store, ClaimLeases(store))

    /** Mints a ticket for one non-idempotent operation of [account]. */
    public fun mintTicket(account: ClientAccountId): Ticket = tickets.mint(account)

    /** Whether this incarnation has minted [ticket]. */
    public fun owns(ticket: Ticket): Boolean = ticket.incarnation == incarnation

    /** Runs [call] under [ticket] at most once; a repetition returns the known outcome of the first call. */
    public fun runOnce(call: ServiceCall, ticket: Ticket): Either<RequestFailure, ServiceAnswer> =
        tickets.runOnce(call, ticket, sender)

    /** Runs [call] under the caller's own [key] at most once; the key is claimed in the store first. */
    public fun runClaimed(call: ServiceCall, key: RequestKey): Either<RequestFailure, ServiceAnswer> =
        claims.runOnce(call, key, sender)

    /** Runs [call], which may be repeated. */
    public fun run(call: ServiceCall): Either<RequestFailure, ServiceAnswer> = sender.send(call)
}
