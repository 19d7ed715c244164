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

/** The outcome of forwarding a request to another entry. */
public enum class ForwardOutcome(public val label: String) {
    /** The other entry sent its complete reply. */
    SERVED("served"),

    /** The request was not sent, or the other entry refused it before processing it. */
    NOT_SENT("not_sent"),

    /** The other entry may be running the request; no part of a reply has been passed on to the caller. */
    UNKNOWN("unknown"),

    /** The reply broke off after part of it was passed on to the caller. */
    CUT("cut"),
}

/**
 * Forwards requests to the entry that has to run them.
 *
 * @param acceptTimeout time within which the other entry must acknowledge the request; the call is cancelled otherwise.
 */
internal class Forwarder(
    private val ownIncarnation: Incarnation,
    private val fleet: FleetView,
    private val peers: PeerClients,
    private val scheduler: ScheduledExecutorService,
    private val metrics: EntryMetrics,
    private val acceptTimeout: Duration = 1.seconds,
) {
    /** Returns the home of [scope]; `null` if this entry is the home, or the home is unknown or unreachable. */
    fun otherHome(scope: HomeScope): ListedInstance? = homeOrder(scope, fleet.entries).firstOrNull()
        ?.takeIf { it.id != ownIncarnation.instance && it.peerAddress != null }

    /** Returns the entry that runs as [incarnation] if the platform lists it, including an entry that is leaving. */
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
                    stub.forward(request).forEach(relay::onReply)
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
 * Passes the messages of a forwarded reply on to [channel]. The first message is empty and acknowledges the request.
 * An event stream is passed on as it arrives. Any other reply is buffered until it is complete, because its reader
 * could not detect that it was cut.
 */
private class ReplyRelay(private val channel: AnswerChannel) {
    private val buffered = ByteArrayOutputStream()
    private var bufferedStart: ForwardReply? = null

    @Volatile
    var isAccepted = false
        private set

    fun onReply(reply: ForwardReply) {
        isAccepted = true
        if (reply.status != 0) start(reply)
        if (reply.body.isEmpty) return
        if (channel.hasStarted) channel.write(reply.body.toByteArray()) else reply.body.writeTo(buffered)
    }

    private fun start(reply: ForwardReply) {
        val isEventStream = reply.headersMap[CONTENT_TYPE_HEADER] == EVENT_STREAM_CONTENT_TYPE
        if (isEventStream) channel.start(reply.status, reply.headersMap) else bufferedStart = reply
    }

    /** Passes on the buffered reply, which is now complete. */
    fun finish() {
        val start = bufferedStart ?: return
        channel.start(start.status, start.headersMap)
        channel.write(buffered.toByteArray())
    }
}
