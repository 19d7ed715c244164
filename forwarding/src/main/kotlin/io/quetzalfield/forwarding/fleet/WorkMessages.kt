package io.quetzalfield.forwarding.fleet

import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.endpoints.EndpointId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.store.PlatformJson
import kotlinx.serialization.Serializable

/** What an instance has at one endpoint: requests, and prompt tokens of them that are still to be read. */
@Serializable
internal data class EndpointWork(val endpoint: String, val running: Int, val unreadTokens: Long) {
    val isIdle: Boolean get() = running == 0 && unreadTokens == 0L
}

/**
 * One datagram between instances. Its figures stand for themselves, so that a lost one is made good by the next.
 *
 * @property number grows with every message of [sender], so that one that was overtaken is known.
 * @property isLeaving whether [sender] is ending, so that no more callers should be sent there.
 */
@Serializable
internal data class WorkMessage(
    val sender: Incarnation,
    val number: Long,
    val work: List<EndpointWork>,
    val isLeaving: Boolean = false,
) {
    fun encode(): ByteArray = PlatformJson.encodeToString(serializer(), this).toByteArray()

    companion object {
        fun decode(bytes: ByteArray): WorkMessage = PlatformJson.decodeFromString(serializer(), bytes.decodeToString())
    }
}

/** Composes what this instance tells the others of its work. Used on the event loop only. */
internal class WorkReport(private val sender: Incarnation) {
    private val toldLast = HashMap<EndpointId, EndpointWork>()
    private var number = 0L

    /** Whether messages say that this instance is ending. */
    var isLeaving = false

    /** Messages with what has changed at [endpoints] since the last call. */
    fun changes(endpoints: Collection<Endpoint>): List<WorkMessage> {
        val changed = endpoints.mapNotNull { endpoint ->
            val work = endpoint.ownWork()
            val before = toldLast[endpoint.id] ?: EndpointWork(endpoint.id.value, running = 0, unreadTokens = 0)
            work.takeIf { it != before }?.also { toldLast[endpoint.id] = it }
        }
        return compose(changed)
    }

    /**
     * Messages with everything that this instance has at [endpoints], and with what has ended there; at least one,
     * which shows that this instance lives.
     */
    fun all(endpoints: Collection<Endpoint>): List<WorkMessage> {
        val told = endpoints.map { it.ownWork() }
            .filter { !it.isIdle || toldLast[EndpointId(it.endpoint)]?.isIdle == false }
        toldLast.clear()
        told.forEach { toldLast[EndpointId(it.endpoint)] = it }
        return compose(told).ifEmpty { listOf(message(emptyList())) }
    }

    private fun compose(work: List<EndpointWork>): List<WorkMessage> = work.chunked(LARGEST_MESSAGE).map(::message)

    private fun message(work: List<EndpointWork>) = WorkMessage(sender, ++number, work, isLeaving)

    private fun Endpoint.ownWork() = EndpointWork(id.value, inFlight, unreadTokens)

    private companion object {
        /** About 70 bytes each: a message stays below the 1,500 bytes that a link takes as a whole. */
        const val LARGEST_MESSAGE = 16
    }
}
