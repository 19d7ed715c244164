package io.quetzalfield.forwarding.http

import io.netty.channel.EventLoop
import io.quetzalfield.decision.CrashQuarantine
import io.quetzalfield.forwarding.RouterMetrics
import io.quetzalfield.forwarding.choice.AnswerPace
import io.quetzalfield.forwarding.choice.ConfidenceCascade
import io.quetzalfield.forwarding.choice.EndpointPlacement
import io.quetzalfield.forwarding.choice.LeastWorkPlacement
import io.quetzalfield.forwarding.choice.ModelCascade
import io.quetzalfield.forwarding.choice.RetryAllowance
import io.quetzalfield.forwarding.choice.SessionsUnderWay
import io.quetzalfield.forwarding.choice.VersionSplit
import io.quetzalfield.forwarding.configuration.ConfigurationHolder
import io.quetzalfield.forwarding.configuration.Route
import io.quetzalfield.forwarding.endpoints.EndpointDirectory
import io.quetzalfield.forwarding.fleet.VersionObserver
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.ServiceId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * All that the handling of requests uses. Everything in it belongs to the event loop and is touched there only.
 *
 * @property confirmationBound age up to which the configuration counts as current; `null` without a bound.
 * @property memberCount instances that take requests now.
 */
public class RoutingContext(
    public val eventLoop: EventLoop,
    public val configuration: ConfigurationHolder,
    public val endpoints: EndpointDirectory,
    public val dialect: HeaderDialect,
    public val metrics: RouterMetrics,
    public val retryAllowance: RetryAllowance,
    public val connections: EndpointConnections,
    public val sessions: SessionsUnderWay = SessionsUnderWay(),
    public val versions: VersionSplit = VersionSplit(sessions = sessions),
    public val observer: VersionObserver = VersionObserver(),
    public val pace: AnswerPace = AnswerPace(),
    public val placement: EndpointPlacement = LeastWorkPlacement(),
    public val cascade: ModelCascade = ConfidenceCascade(),
    public val crashes: CrashQuarantine = CrashQuarantine(InstanceId("alone")),
    public val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    public val random: Random = Random.Default,
    public val confirmationBound: Duration? = null,
    public val memberCount: () -> Int = { 1 },
) {
    /** Told whenever the work of this instance at an endpoint has changed. */
    public var onWorkChanged: () -> Unit = {}

    /** Whether this instance is ending; answers then ask callers to close their connections. */
    public var isShuttingDown: Boolean = false

    /** Whether this instance takes no more requests. */
    public var isRefusing: Boolean = false

    /** Bytes of endpoints' answers that are held until they are whole. */
    public var heldBodyBytes: Int = 0

    /** Requests that have no final answer yet. */
    public var openExchanges: Int = 0

    /** Whether requests may run by the present configuration: its last confirmation is recent enough. */
    public val isConfigurationCurrent: Boolean
        get() = confirmationBound == null || configuration.isConfirmedWithin(confirmationBound)

    /** One of the services that [route] leads to, by their weights. */
    public fun pickService(route: Route): ServiceId {
        val total = route.services.sumOf { it.weight }
        var position = if (total > 0) random.nextInt(total) else 0
        val picked = route.services.firstOrNull {
            position -= it.weight
            position < 0
        }
        return (picked ?: route.services.first()).service
    }

    /** Connections that this instance may have to one endpoint of [service]. */
    public fun connectionLimit(service: ServiceId): Int {
        val all = configuration.current?.services?.get(service)?.connectionLimit ?: DEFAULT_CONNECTION_LIMIT
        return (all * CONNECTION_SHARE / memberCount().coerceAtLeast(1)).toInt().coerceAtLeast(1)
    }

    /** Share of the places of [service] that are taken, as far as this instance knows. */
    public fun occupancy(service: ServiceId): Double {
        val eligible = endpoints.eligible(service)
        val places = eligible.sumOf { it.description.capacity }.coerceAtLeast(1)
        val now = timeSource.markNow()
        val taken = eligible.sumOf { endpoint ->
            val reported = endpoint.load?.let { it.running + it.waiting } ?: 0
            maxOf(endpoint.runningAt(now), reported)
        }
        return taken.toDouble() / places
    }

    private companion object {
        /** Used until the configuration names a limit: small enough for any server. */
        const val DEFAULT_CONNECTION_LIMIT = 64

        /** Part of an endpoint's connections that all instances use together; the rest covers members just joining. */
        const val CONNECTION_SHARE = 0.9
    }
}
