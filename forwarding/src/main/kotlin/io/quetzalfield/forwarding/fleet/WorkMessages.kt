package io.quetzalfield.forwarding.fleet

import io.quetzalfield.forwarding.PeerFormat
import io.quetzalfield.forwarding.choice.HeldSessions
import io.quetzalfield.forwarding.crashes.CrashNews
import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.endpoints.EndpointId
import io.quetzalfield.model.Incarnation
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

private const val TRUST_FIELD = 20

/** Work of instances at one endpoint: requests, and their prompt tokens that are still to be read. */
@Serializable
internal data class EndpointWork(val endpoint: String, val running: Int, val unreadTokens: Long) {
    val isIdle: Boolean get() = running == 0 && unreadTokens == 0L

    /** Returns this work minus [part], which the sender of this work may not have included yet. */
    fun without(part: EndpointWork): EndpointWork = copy(
        running = (running - part.running).coerceAtLeast(0),
        unreadTokens = (unreadTokens - part.unreadTokens).coerceAtLeast(0),
    )
}

/** Whose work a message reports. */
@Serializable
internal enum class WorkScope {
    /** The sender's own work. */
    OWN,

    /** The work of the sender's group. */
    GROUP,

    /** The work of all instances, including the receiver's own. */
    FLEET,
}

/**
 * One datagram between instances. It carries absolute figures, so that the next one makes up for a lost one.
 *
 * @property number increases with every message of [sender], so that a message that was overtaken is recognised.
 * @property isLeaving whether [sender] is leaving, so that no more callers should be sent there.
 * @property held sessions that [sender] holds on the previous version.
 * @property limits what [sender] knows of the limits that endpoints have named.
 * @property crashes what [sender] has found about requests that make endpoints end.
 * @property leaving endpoints that have stated to [sender] that they will end.
 * @property speeds what [sender] knows of the speeds of endpoints.
 * @property trust endpoints that fail calls of [sender], or no longer do.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class WorkMessage(
    val sender: Incarnation,
    val number: Long,
    val work: List<EndpointWork> = emptyList(),
    val isLeaving: Boolean = false,
    val scope: WorkScope = WorkScope.OWN,
    val held: List<HeldSessions> = emptyList(),
    val limits: List<LimitReport> = emptyList(),
    val crashes: CrashNews? = null,
    val leaving: List<LeavingReport> = emptyList(),
    val speeds: List<SpeedReport> = emptyList(),
    // A number of its own, so that fields that are added above it do not change it.
    @ProtoNumber(TRUST_FIELD)
    val trust: List<TrustReport> = emptyList(),
) {
    fun encode(): ByteArray = PeerFormat.encode(serializer(), this)

    companion object {
        /** @throws kotlinx.serialization.SerializationException when [bytes] are not a message. */
        fun decode(bytes: ByteArray): WorkMessage = PeerFormat.decode(serializer(), bytes)
    }
}

/** Composes the messages of [sender]. Used on the event loop only. */
internal class WorkMessageComposer(private val sender: Incarnation) {
    private var number = 0L

    /** Whether messages state that this instance is leaving. */
    var isLeaving = false

    /** Returns messages that report [work], each small enough for a link to carry it unfragmented. */
    fun compose(work: List<EndpointWork>, scope: WorkScope): List<WorkMessage> =
        work.chunked(ENDPOINTS_PER_MESSAGE).map { WorkMessage(sender, ++number, it, isLeaving, scope) }

    /** Returns a message that shows that this instance is alive. */
    fun presence(): WorkMessage = WorkMessage(sender, ++number, isLeaving = isLeaving)

    /** Returns messages that report [held]. */
    fun held(held: List<HeldSessions>): List<WorkMessage> = held
        .flatMap { one -> one.sessions.chunked(SESSIONS_PER_MESSAGE).map { one.copy(sessions = it) } }
        .map { WorkMessage(sender, ++number, isLeaving = isLeaving, held = listOf(it)) }

    /** Returns messages that report [limits]. */
    fun limits(limits: List<LimitReport>): List<WorkMessage> = limits.chunked(ENDPOINTS_PER_MESSAGE)
        .map { WorkMessage(sender, ++number, isLeaving = isLeaving, limits = it) }

    /** Returns messages that report [speeds]. */
    fun speeds(speeds: List<SpeedReport>): List<WorkMessage> = speeds.chunked(ENDPOINTS_PER_MESSAGE)
        .map { WorkMessage(sender, ++number, isLeaving = isLeaving, speeds = it) }

    /** Returns messages that report [leaving]. */
    fun leaving(leaving: List<LeavingReport>): List<WorkMessage> = leaving.chunked(ENDPOINTS_PER_MESSAGE)
        .map { WorkMessage(sender, ++number, isLeaving = isLeaving, leaving = it) }

    /** Returns messages that report [trust]. */
    fun trust(trust: List<TrustReport>): List<WorkMessage> = trust.chunked(ENDPOINTS_PER_MESSAGE)
        .map { WorkMessage(sender, ++number, isLeaving = isLeaving, trust = it) }

    /** Returns messages that report [news]. */
    fun crashes(news: CrashNews): List<WorkMessage> =
        news.split().map { WorkMessage(sender, ++number, isLeaving = isLeaving, crashes = it) }

    private companion object {
        /** About 25 bytes each: a message stays below the 1,500 bytes that a link carries unfragmented. */
        const val ENDPOINTS_PER_MESSAGE = 40

        /** Sessions in a message, about 11 bytes each. */
        const val SESSIONS_PER_MESSAGE = 100
    }
}

/** Reports the changes of the work that [measure] returns for endpoints. Used on the event loop only. */
internal class WorkReport(private val measure: (Endpoint) -> EndpointWork = ::ownWork) {
    private val lastReported = HashMap<EndpointId, EndpointWork>()

    /** Returns the work at those of [endpoints] where it has changed since the last call. */
    fun changes(endpoints: Collection<Endpoint>): List<EndpointWork> = endpoints.mapNotNull { endpoint ->
        val work = measure(endpoint)
        val before = lastReported[endpoint.id]
        val hasChanged = if (before == null) !work.isIdle else work != before
        work.takeIf { hasChanged }?.also { lastReported[endpoint.id] = it }
    }

    /** Returns all work at [endpoints], including work that has ended since the last call. */
    fun all(endpoints: Collection<Endpoint>): List<EndpointWork> {
        val reported = endpoints.map(measure)
            .filter { !it.isIdle || lastReported[EndpointId(it.endpoint)]?.isIdle == false }
        lastReported.clear()
        reported.forEach { lastReported[EndpointId(it.endpoint)] = it }
        return reported
    }
}

/** Returns the work of this instance at [endpoint]. */
internal fun ownWork(endpoint: Endpoint): EndpointWork =
    EndpointWork(endpoint.id.value, endpoint.inFlight, endpoint.unreadTokens)
