package io.quetzalfield.forwarding.http

import io.netty.channel.EventLoop
import io.quetzalfield.forwarding.RouterMetrics
import io.quetzalfield.forwarding.choice.ActiveSessions
import io.quetzalfield.forwarding.choice.AnswerPace
import io.quetzalfield.forwarding.choice.AnswerTimeEstimates
import io.quetzalfield.forwarding.choice.ConfidenceCascade
import io.quetzalfield.forwarding.choice.EndpointLimits
import io.quetzalfield.forwarding.choice.EndpointPlacement
import io.quetzalfield.forwarding.choice.LargerModelChoice
import io.quetzalfield.forwarding.choice.LeastWorkPlacement
import io.quetzalfield.forwarding.choice.LimitSharers
import io.quetzalfield.forwarding.choice.ModelCascade
import io.quetzalfield.forwarding.choice.RetryAllowance
import io.quetzalfield.forwarding.choice.ReturnSchedule
import io.quetzalfield.forwarding.choice.ScarceCapacity
import io.quetzalfield.forwarding.choice.VersionSplit
import io.quetzalfield.forwarding.configuration.ClientAccount
import io.quetzalfield.forwarding.configuration.ConfigurationHolder
import io.quetzalfield.forwarding.configuration.Route
import io.quetzalfield.forwarding.crashes.CrashGuard
import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.endpoints.EndpointDirectory
import io.quetzalfield.forwarding.fleet.VersionObserver
import io.quetzalfield.forwarding.intake.CallerIntake
import io.quetzalfield.forwarding.intake.IntakeBudget
import io.quetzalfield.forwarding.intake.IntakeLimits
import io.quetzalfield.model.ServiceId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * The state and collaborators of request handling. Used on the event loop only.
 *
 * @property confirmationBound age of its last confirmation up to which the configuration is current; `null` for no
 * bound.
 * @property memberCount number of instances that may have connections to endpoints.
 * @param scarceCapacity what is decided where callers compete for capacity; `null` where they do not.
 * @param intakeLimits limits on what is held for callers.
 */
public class RoutingContext(
    public val eventLoop: EventLoop,
    public val configuration: ConfigurationHolder,
    public val endpoints: EndpointDirectory,
    public val headerCodec: HeaderCodec,
    public val metrics: RouterMetrics,
    public val retryAllowance: RetryAllowance,
    public val connections: EndpointConnections,
    public val sessions: ActiveSessions = ActiveSessions(),
    public val versions: VersionSplit = VersionSplit(sessions = sessions),
    public val observer: VersionObserver = VersionObserver(),
    public val pace: AnswerPace = AnswerPace(),
    public val placement: EndpointPlacement = LeastWorkPlacement(),
    public val answerTimes: AnswerTimeEstimates = AnswerTimeEstimates(),
    public val cascade: ModelCascade = ConfidenceCascade(),
    public val crashes: CrashGuard = CrashGuard(eventLoop, connections, metrics),
    public val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    public val random: Random = Random.Default,
    public val confirmationBound: Duration? = null,
    public val memberCount: () -> Int = { 1 },
    public val limits: EndpointLimits = EndpointLimits(timeSource) { LimitSharers(own = null, all = emptySet()) },
    private val scarceCapacity: ScarceCapacity? = null,
    public val returns: ReturnSchedule = ReturnSchedule(timeSource, random),
    intakeLimits: IntakeLimits = IntakeLimits.of(CallerIntake.processBounds(memoryBytes = null, descriptors = null)),
) {
    /** What is held for callers, within [intakeLimits]. */
    public val intake: CallerIntake =
        CallerIntake(eventLoop, metrics, IntakeBudget(intakeLimits, timeSource) { bufferedBodyBytes.toLong() })

    /** Called whenever the work of this instance at an endpoint has changed. */
    public var onWorkChanged: () -> Unit = {}

    /** Called with an endpoint that has stated itself, for the first time, that it will end. */
    public var onLeaving: (Endpoint) -> Unit = {}

    /** Whether what the instances share in the store has been read; without it, sessions may change versions. */
    public var isFleetKnown: Boolean = true

    /** Whether the operator's orders to evacuate failure domains have been read. */
    public var areEvacuationsKnown: Boolean = true

    /** Whether the entries of the endpoints have been read; without them, every request would be refused. */
    public var areEndpointsKnown: Boolean = true

    /** Whether everything has been read that requests depend on. */
    public val isStateKnown: Boolean
        get() = configuration.current != null && isFleetKnown && areEvacuationsKnown && areEndpointsKnown

    /** Whether this instance is shutting down; answers then ask callers to close their connections. */
    public var isShuttingDown: Boolean = false

    /** Whether this instance refuses new requests. */
    public var isRefusing: Boolean = false

    /** Bytes of incomplete responses of endpoints that are buffered. */
    public var bufferedBodyBytes: Int = 0

    /** Number of requests that have no final answer yet. */
    public var openExchanges: Int = 0

    /** Whether the last confirmation of the configuration is recent enough to run requests. */
    public val isConfigurationCurrent: Boolean get() = isConfigurationCurrentFor(Duration.ZERO)

    /** Whether that confirmation will still be recent enough after [margin], if no other one arrives. */
    public fun isConfigurationCurrentFor(margin: Duration): Boolean =
        confirmationBound == null || configuration.isConfirmedWithin(confirmationBound - margin)

    /** Decides on second answers by larger models. */
    public val largerModels: LargerModelChoice = LargerModelChoice(cascade, answerTimes, ::isConfigurationCurrentFor)

    /** Selects one of the services of [route] at random, in proportion to their weights. */
    public fun pickService(route: Route): ServiceId {
        val total = route.services.sumOf { it.weight }
        var position = if (total > 0) random.nextInt(total) else 0
        val picked = route.services.firstOrNull {
            position -= it.weight
            position < 0
        }
        return (picked ?: route.services.first()).service
    }

    /**
     * The urgency of a request of [account] for [service], 0 for the most urgent: by the account's priority or else by
     * that of its [route]. An account that sends many times its usual gets what others leave while endpoints are busy.
     */
    public fun urgencyOf(account: ClientAccount?, route: Route, service: ServiceId): Int {
        val usual = (account?.priority ?: route.priority).coerceIn(0, LOWEST_URGENCY)
        val isDemoted = account != null && scarceCapacity?.isDemoted(account.account, service) == true
        if (!isDemoted) return usual
        metrics.countDemoted()
        return (usual + ScarceCapacity.DEMOTION).coerceAtMost(LOWEST_URGENCY)
    }

    /** Requests per second that a cold endpoint of [service] gets from all instances; `null` for no limit. */
    public fun coldRate(service: ServiceId): Double? =
        configuration.current?.services?.get(service)?.coldRequestsPerSecond?.let { it * COLD_SHARE }

    /** Time for which an endpoint of [service] is cold after its start. */
    public fun coldStart(service: ServiceId): Duration =
        configuration.current?.services?.get(service)?.coldStart ?: Duration.ZERO

    /** Maximum number of connections of this instance to one endpoint of [service]. */
    public fun connectionLimit(service: ServiceId): Int {
        val all = configuration.current?.services?.get(service)?.connectionLimit ?: DEFAULT_CONNECTION_LIMIT
        return (all * CONNECTION_SHARE / memberCount().coerceAtLeast(1)).toInt().coerceAtLeast(1)
    }

    /**
     * Fraction of the capacity of [service] that is in use, as far as this instance knows; may exceed 1. Endpoints with
     * a limit do not count beside others, as the limit and not their capacity decides what they accept.
     */
    public fun occupancy(service: ServiceId): Double {
        val eligible = endpoints.eligible(service)
        val open = eligible.filterNot(limits::isLimited).ifEmpty { eligible }
        val capacity = open.sumOf { it.description.capacity }.coerceAtLeast(1)
        val now = timeSource.markNow()
        val inUse = open.sumOf { endpoint ->
            val reported = endpoint.load?.let { it.running + it.waiting } ?: 0
            maxOf(endpoint.runningAt(now), reported)
        }
        val inSlots = inUse.toDouble() / capacity
        return scarceCapacity?.occupancy(service, inSlots, open.count { it.unreadTokensAt(now) > 0 }, open.size)
            ?: inSlots
    }

    private companion object {
        /** Used until the configuration sets a limit; small enough for any server. */
        const val DEFAULT_CONNECTION_LIMIT = 64

        const val LOWEST_URGENCY = 9

        /** Fraction of the requests that a cold endpoint bears; the rest covers uneven times on the way to it. */
        const val COLD_SHARE = 0.9

        /** Fraction of an endpoint's connections that all instances use together; the rest is for joining members. */
        const val CONNECTION_SHARE = 0.9
    }
}
