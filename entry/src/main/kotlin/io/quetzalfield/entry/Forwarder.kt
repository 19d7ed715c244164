package io.quetzalfield.entry

import arrow.core.Either
import io.grpc.Context
import io.quetzalfield.decision.HomeScope
import io.quetzalfield.decision.homeOrder
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.model.incarnation
import io.quetzalfield.peer.PeerClients
import io.quetzalfield.peer.PeerError
import io.quetzalfield.peer.wire.ForwardReply
import io.quetzalfield.peer.wire.ForwardRequest
import java.io.ByteArrayOutputStream
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What came of forwarding a request to another entry. */
public enum class ForwardOutcome(public val label: String) {
    /** The other entry gave its whole reply. */
    SERVED("served"),

    /** The request has not left this entry, or the other refused it before it looked at it. */
    NOT_SENT("not_sent"),

    /** The other entry may run the request; nothing of a reply has been passed on. */
    UNKNOWN("unknown"),

    /** The reply broke off after a part of it was passed on. */
    CUT("cut"),
}

/**
 * Forwards requests to the entry that has to run them.
 *
 * @param acceptTimeout time within which the other entry says that it has the request.
 */
internal class Forwarder(
    private val own: Incarnation,
    private val fleet: FleetView,
    private val peers: PeerClients,
    private val scheduler: ScheduledExecutorService,
    private val metrics: EntryMetrics,
    private val acceptTimeout: Duration = 1.seconds,
) {
    /** The home of [scope]; `null` when it is this entry or no other can be reached. */
    fun otherHome(scope: HomeScope): ListedInstance? =
        homeOrder(scope, fleet.entries).firstOrNull()?.takeIf { it.id != own.instance && it.peerAddress != null }

    /** The entry that runs as [incarnation], if the platform lists it; leaving ones too. */
    fun entryOf(incarnation: Incarnation): ListedInstance? =
        fleet.all.firstOrNull { it.incarnation == incarnation && it.peerAddress != null }

    /** Sends [request] to [entry] and passes the reply on to [channel]. */
    fun forward(
        entry: ListedInstance,
        request: ForwardRequest,
        timeout: Duration,
        channel: AnswerChannel,
    ): ForwardOutcome {
        val context = Context.current().withCancellation()
        val relay = ReplyRelay(channel)
        val watchdog = scheduler.schedule({ if (!relay.isAccepted) context.cancel(null) }, acceptTimeout)
        try {
            val result = context.call {
                peers.call(entry.peerAddress.orEmpty(), timeout) { stub ->
                    stub.forward(request).forEach(relay::take)
                }
            }
            result.onRight { relay.finish() }
            return outcome(result, channel).also(metrics::countForward)
        } finally {
            watchdog.cancel(false)
            context.cancel(null)
        }
    }

    private fun outcome(result: Either<PeerError, Unit>, channel: AnswerChannel): ForwardOutcome = when {
        result is Either.Right && channel.hasStarted -> ForwardOutcome.SERVED
        channel.hasStarted -> ForwardOutcome.CUT
        result is Either.Left && result.value !is PeerError.OutcomeUnknown -> ForwardOutcome.NOT_SENT
        else -> ForwardOutcome.UNKNOWN
    }

    private fun ScheduledExecutorService.schedule(action: () -> Unit, delay: Duration) =
        schedule(action, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
}

/**
 * Passes the messages of a forwarded reply on. The first is empty and says that the request was accepted. Events are
 * passed on as they come; any other reply only when it is whole, as its reader could not tell that it was cut.
 */
private class ReplyRelay(private val channel: AnswerChannel) {
    private val held = ByteArrayOutputStream()
    private var heldStart: ForwardReply? = null

    @Volatile
    var isAccepted = false
        private set

    fun take(reply: ForwardReply) {
        isAccepted = true
        if (reply.status != 0) start(reply)
        if (reply.body.isEmpty) return
        if (channel.hasStarted) channel.write(reply.body.toByteArray()) else reply.body.writeTo(held)
    }

    private fun start(reply: ForwardReply) {
        val isEventStream = reply.headersMap[CONTENT_TYPE_HEADER] == EVENT_STREAM_CONTENT_TYPE
        if (isEventStream) channel.start(reply.status, reply.headersMap) else heldStart = reply
    }

    /** Passes on what was held; the reply is whole. */
    fun finish() {
        val start = heldStart ?: return
        channel.start(start.status, start.headersMap)
        channel.write(held.toByteArray())
    }
}
