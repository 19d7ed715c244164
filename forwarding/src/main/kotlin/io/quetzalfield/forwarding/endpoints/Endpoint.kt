package io.quetzalfield.forwarding.endpoints

import io.quetzalfield.model.HostPort
import io.quetzalfield.model.ModelId
import io.quetzalfield.model.RunnerId
import io.quetzalfield.model.ServiceId
import io.quetzalfield.model.VersionId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** One start of a runner, named by the runner itself. */
@JvmInline
public value class EndpointId(public val value: String) {
    override fun toString(): String = value
}

/**
 * What an endpoint says of itself in the store.
 *
 * @property isLeaving whether it has announced its end.
 * @property start Unix milliseconds of its start, which tell two starts under one id apart.
 * @property coldFor how much longer it stays slow after its start.
 */
public data class EndpointDescription(
    val id: EndpointId,
    val service: ServiceId,
    val address: HostPort,
    val failureDomain: String,
    val version: VersionId,
    val capacity: Int,
    val isLeaving: Boolean = false,
    val start: Long = 0,
    val coldFor: Duration = Duration.ZERO,
    val models: Set<ModelId> = emptySet(),
)

/** Load that an endpoint reported. */
public data class EndpointLoad(val running: Int, val waiting: Int, val slots: Int)

/** An endpoint as this instance knows it. Used on the event loop only. */
public class Endpoint(public var description: EndpointDescription) {
    /** Requests that this instance has at the endpoint. */
    public var inFlight: Int = 0

    /** Prompt tokens of own requests that the endpoint still has to read before their first event. */
    public var unreadTokens: Long = 0

    /** What other instances have at the endpoint. */
    public val peers: PeerLoads = PeerLoads()

    /** The newest load it reported, with its time. */
    public var load: EndpointLoad? = null

    /** When [load] was reported. */
    public var loadReportedAt: ComparableTimeMark? = null

    /** When the last bytes came from it. */
    public var lastHeard: ComparableTimeMark? = null

    /** No new work before this time, as attempts have failed; `null` when none has. */
    public var avoidedUntil: ComparableTimeMark? = null
        private set

    private var failuresInRow = 0

    /** When its entry disappeared from the store. */
    public var vanishedAt: ComparableTimeMark? = null

    /** Prompt parts that this instance believes to be in its memory. */
    public val cachedParts: CachedParts = CachedParts()

    /** Whether it is known to be gone: another instance answered at its address. */
    public var isGone: Boolean = false

    public val id: EndpointId get() = description.id

    /** Names this start of the endpoint, as an id may come again. */
    public val startId: RunnerId get() = RunnerId("$id@${description.start}")

    /** Whether it may get new work: registered, not leaving. */
    public val isEligible: Boolean get() = !isGone && !description.isLeaving && vanishedAt == null

    /** Requests that all instances have at the endpoint, as far as they have told one another. */
    public fun runningAt(now: ComparableTimeMark): Int = inFlight + peers.runningAt(now)

    /** Prompt tokens of the requests of all instances that the endpoint still has to read. */
    public fun unreadTokensAt(now: ComparableTimeMark): Long = unreadTokens + peers.unreadTokensAt(now)

    /** Notes a failure at [now]: the endpoint is passed over for a while, longer with each failure in a row. */
    public fun failed(now: ComparableTimeMark) {
        avoidedUntil = now + FailurePause * (1 shl failuresInRow)
        failuresInRow = (failuresInRow + 1).coerceAtMost(MOST_DOUBLINGS)
    }

    /** Notes that the endpoint turned a request away at [now] as it is full. */
    public fun turnedAway(now: ComparableTimeMark) {
        avoidedUntil = now + FullPause
    }

    /** Notes a whole answer. */
    public fun succeeded() {
        failuresInRow = 0
    }

    /** Notes that the endpoint has started anew: it holds and knows nothing of before. */
    public fun startAnew() {
        cachedParts.clear()
        peers.clear()
        load = null
        avoidedUntil = null
        failuresInRow = 0
        isGone = false
    }

    override fun toString(): String = "${description.id}@${description.address}"

    private companion object {
        /** About the time in which a crashed process is noticed by its entry or started again. */
        val FailurePause = 500.milliseconds
        const val MOST_DOUBLINGS = 3

        /** Time in which a full endpoint ends a request or two. */
        val FullPause = 150.milliseconds
    }
}
