package io.quetzalfield.forwarding.endpoints

import io.quetzalfield.model.HostPort
import io.quetzalfield.model.ModelId
import io.quetzalfield.model.RunnerId
import io.quetzalfield.model.ServiceId
import io.quetzalfield.model.VersionId
import kotlin.math.pow
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Identifies one start of a runner; the runner itself chooses it. */
@JvmInline
public value class EndpointId(public val value: String) {
    override fun toString(): String = value
}

/**
 * The entry that an endpoint writes about itself in the store.
 *
 * @property isLeaving whether it has announced that it will end.
 * @property start Unix milliseconds of its start, which distinguish two starts under one id.
 * @property coldFor remaining time for which it is cold, as its caches and workers are not warm yet.
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

/**
 * Load reported by an endpoint.
 *
 * @property timeFactor time that work takes there at this moment, in relation to the usual; `null` if not stated.
 */
public data class EndpointLoad(val running: Int, val waiting: Int, val slots: Int, val timeFactor: Double? = null)

/**
 * An endpoint as this instance knows it. Used on the event loop only.
 *
 * @property trust when it gets work again after failures.
 */
public class Endpoint(public var description: EndpointDescription, public val trust: EndpointTrust = EndpointTrust()) {
    /** Requests of this instance that are open at the endpoint. */
    public var inFlight: Int = 0

    /** Prompt tokens of this instance's requests that the endpoint still has to read before their first event. */
    public var unreadTokens: Long = 0

    /** Load of other instances at the endpoint. */
    public val peers: PeerLoads = PeerLoads()

    /** Its speed in relation to the other endpoints of its service. */
    public val speed: EndpointSpeed = EndpointSpeed()

    /** The newest load that it reported; [loadReportedAt] is its time. */
    public var load: EndpointLoad? = null

    /** Time at which [load] was reported. */
    public var loadReportedAt: ComparableTimeMark? = null

    /** Whether its newest load states how long work takes there. */
    public val statesTimeFactor: Boolean get() = load?.timeFactor != null

    /**
     * Time that work takes at the endpoint at [now], in relation to the usual: what it stated, and what was learnt of
     * its speed, which contains the usual time there. The statement loses half of its weight with each
     * [TimeFactorHalfLife], as it changes many times per second.
     */
    public fun slownessAt(now: ComparableTimeMark): Double {
        val learnt = speed.slownessAt(now)
        val stated = load?.timeFactor ?: return learnt
        val age = loadReportedAt?.let { now - it } ?: return learnt
        val weight = HALF.pow(age / TimeFactorHalfLife)
        return stated.pow(weight) * learnt.pow(1 - weight)
    }

    /** Time at which the last bytes arrived from it. */
    public var lastHeard: ComparableTimeMark? = null

    /** Time before which it gets no new work, as an attempt has failed or was refused; `null` when none was. */
    public val avoidedUntil: ComparableTimeMark?
        get() = listOfNotNull(trust.avoidedUntil, fullUntil).maxOrNull()

    private var fullUntil: ComparableTimeMark? = null

    /** The limit on requests that it has named. */
    public val limit: EndpointLimit = EndpointLimit()

    /** Requests that this instance has sent to it, for its part of the limit. */
    public val sends: SendPart = SendPart()

    /** Time at which its entry disappeared from the store; `null` while it is there. */
    public var vanishedAt: ComparableTimeMark? = null

    /** Prompt parts that this instance assumes to be in its memory. */
    public val cachedParts: CachedParts = CachedParts()

    /**
     * Whether it counts as ended, because another endpoint has answered at its address. It is tried again after the
     * time in which the entry of an endpoint that ended disappears, as the answer may have had another cause.
     */
    public val hasEnded: Boolean get() = misdirectedAt.let { it != null && it.elapsedNow() < EndedTime }

    private var misdirectedAt: ComparableTimeMark? = null

    /** Whether the operator has ordered that its failure domain gets nothing. */
    public var isEvacuated: Boolean = false
        internal set

    /** Time until which it is cold; `null` while it has not been. */
    private var coldUntil: ComparableTimeMark? = null

    public val id: EndpointId get() = description.id

    /** Identifies this start of the endpoint, as an id may be reused. */
    public val startId: RunnerId get() = RunnerId("$id@${description.start}")

    /** Whether it may get new work: it is registered, not evacuated, not leaving and not known to have ended. */
    public val isEligible: Boolean
        get() = !hasEnded && !description.isLeaving && vanishedAt == null && !isEvacuated

    /** Whether it is cold at [now]. */
    public fun isColdAt(now: ComparableTimeMark): Boolean = coldUntil.let { it != null && it > now }

    /**
     * Records that the endpoint is cold for [duration] from [now] on. A shorter time than the one known does not count,
     * as statements may arrive late.
     */
    public fun recordCold(duration: Duration, now: ComparableTimeMark) {
        if (duration <= Duration.ZERO) return
        coldUntil = maxOf(coldUntil ?: now, now + duration)
    }

    /** Requests of all instances at the endpoint, as far as they have reported them to one another. */
    public fun runningAt(now: ComparableTimeMark): Int = inFlight + peers.runningAt(now)

    /** Prompt tokens of the requests of all instances that the endpoint still has to read. */
    public fun unreadTokensAt(now: ComparableTimeMark): Long = unreadTokens + peers.unreadTokensAt(now)

    /** Records a failure at [now]: the endpoint is avoided for a while, longer with each consecutive failure. */
    public fun recordFailure(now: ComparableTimeMark): Unit = trust.recordFailure(now)

    /** Records a response at [now] that states an error, which may be one of the request. */
    public fun recordError(now: ComparableTimeMark): Unit = trust.recordFailure(now, isShared = false)

    /** Records that another endpoint answered at its address at [now], or that it took itself for another one. */
    public fun recordMisdirected(now: ComparableTimeMark) {
        misdirectedAt = now
        trust.recordFailure(now, isShared = false)
    }

    /** Records that the endpoint refused a request at [now] because it is full. */
    public fun recordRefusal(now: ComparableTimeMark) {
        fullUntil = now + FullPause
    }

    /** Records an answer to a request that was sent at [sentAt]; without it, to one sent after all failures. */
    public fun recordSuccess(sentAt: ComparableTimeMark? = null): Unit = trust.recordAnswer(sentAt)

    /** Discards what was known of the endpoint before it restarted. */
    public fun resetAfterRestart() {
        cachedParts.clear()
        peers.clear()
        speed.clear()
        limit.clear()
        load = null
        fullUntil = null
        trust.clear()
        misdirectedAt = null
    }

    override fun toString(): String = "${description.id}@${description.address}"

    private companion object {
        const val HALF = 0.5

        /** A stated time factor is worth little after a second. */
        val TimeFactorHalfLife = 300.milliseconds

        /** Longer than the entry of a process that has ended stays. */
        val EndedTime = 5.seconds

        /** Time in which a full endpoint completes one or two requests. */
        val FullPause = 150.milliseconds
    }
}
