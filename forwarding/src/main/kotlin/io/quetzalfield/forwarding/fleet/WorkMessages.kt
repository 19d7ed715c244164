package io.quetzalfield.forwarding.fleet

import io.quetzalfield.forwarding.PeerFormat
import io.quetzalfield.forwarding.choice.HeldSessions
import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.endpoints.EndpointId
import io.quetzalfield.model.Incarnation
import kotlinx.serialization.Serializable

/** What instances have at one endpoint: requests, and prompt tokens of them that are still to be read. */
@Serializable
internal data class EndpointWork(val endpoint: String, val running: Int, val unreadTokens: Long) {
    val isIdle: Boolean get() = running == 0 && unreadTokens == 0L

    /** This work less [part] of it, which the teller of this may not have known yet. */
    fun without(part: EndpointWork): EndpointWork = copy(
        running = (running - part.running).coerceAtLeast(0),
        unreadTokens = (unreadTokens - part.unreadTokens).coerceAtLeast(0),
    )
}

/** Whose work a message tells. */
@Serializable
internal enum class WorkScope {
    /** The sender's own. */
    OWN,

    /** That of the sender's group. */
    GROUP,

    /** That of all instances, with the receiver's own. */
    FLEET,
}

/**
 * One datagram between instances. Its figures stand for themselves, so that a lost one is made good by the next.
 *
 * @property number grows with every message of [sender], so that one that was overtaken is known.
 * @property isLeaving whether [sender] is ending, so that no more callers should be sent there.
 * @property held sessions that [sender] holds on the version before.
 */
@Serializable
internal data class WorkMessage(
    val sender: Incarnation,
    val number: Long,
    val work: List<EndpointWork> = emptyList(),
    val isLeaving: Boolean = false,
    val scope: WorkScope = WorkScope.OWN,
    val held: List<HeldSessions> = emptyList(),
) {
    fun encode(): ByteArray = PeerFormat.encode(serializer(), this)

    companion object {
        /** @throws kotlinx.serialization.SerializationException when [bytes] hold no message. */
        fun decode(bytes: ByteArray): WorkMessage = PeerFormat.decode(serializer(), bytes)
    }
}

/** Composes the messages of [sender]. Used on the event loop only. */
internal class WorkMessageComposer(private val sender: Incarnation) {
    private var number = 0L

    /** Whether messages say that this instance is ending. */
    var isLeaving = false

    /** Messages that tell [work], each small enough for a link to take it as a whole. */
    fun compose(work: List<EndpointWork>, scope: WorkScope): List<WorkMessage> =
        work.chunked(LARGEST_MESSAGE).map { WorkMessage(sender, ++number, it, isLeaving, scope) }

    /** A message that shows that this instance lives. */
    fun presence(): WorkMessage = WorkMessage(sender, ++number, isLeaving = isLeaving)

    /** Messages that tell [held]. */
    fun held(held: List<HeldSessions>): List<WorkMessage> = held
        .flatMap { one -> one.sessions.chunked(MOST_HELD).map { one.copy(sessions = it) } }
        .map { WorkMessage(sender, ++number, isLeaving = isLeaving, held = listOf(it)) }

    private companion object {
        /** About 25 bytes each: a message stays below the 1,500 bytes that a link takes as a whole. */
        const val LARGEST_MESSAGE = 40

        /** Sessions in a message, about 11 bytes each. */
        const val MOST_HELD = 100
    }
}

/** Tells what has changed of the work that [measure] finds at endpoints. Used on the event loop only. */
internal class WorkReport(private val measure: (Endpoint) -> EndpointWork = ::ownWork) {
    private val toldLast = HashMap<EndpointId, EndpointWork>()

    /** What has changed at [endpoints] since the last call. */
    fun changes(endpoints: Collection<Endpoint>): List<EndpointWork> = endpoints.mapNotNull { endpoint ->
        val work = measure(endpoint)
        val before = toldLast[endpoint.id]
        val isNews = if (before == null) !work.isIdle else work != before
        work.takeIf { isNews }?.also { toldLast[endpoint.id] = it }
    }

    /** All work at [endpoints], and what has ended there since the last call. */
    fun all(endpoints: Collection<Endpoint>): List<EndpointWork> {
        val told = endpoints.map(measure)
            .filter { !it.isIdle || toldLast[EndpointId(it.endpoint)]?.isIdle == false }
        toldLast.clear()
        told.forEach { toldLast[EndpointId(it.endpoint)] = it }
        return told
    }
}

/** What this instance has at [endpoint]. */
internal fun ownWork(endpoint: Endpoint): EndpointWork =
    EndpointWork(endpoint.id.value, endpoint.inFlight, endpoint.unreadTokens)
