package io.quetzalfield.forwarding.configuration

import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.ModelId
import io.quetzalfield.model.ServiceId
import io.quetzalfield.store.StoreRevision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Whether the requests of a route may be repeated. */
public enum class Repeatability {
    /** A request may run more than once. */
    IDEMPOTENT,

    /** A request runs at most once. */
    AT_MOST_ONCE,
}

/** A service that a route leads to, with its [weight] among the route's services. */
public data class WeightedService(val service: ServiceId, val weight: Int)

/**
 * A rule for the requests to one host whose path starts with [prefix].
 *
 * @property isStream whether answers are event streams.
 * @property isResumable whether a stream may be resumed at another endpoint after its last event.
 * @property models models that may answer, smallest first; empty where the caller names the model.
 * @property attemptLimit largest number of endpoints to which one request may be sent.
 * @property timeout longest time for which a request may go without its final answer.
 * @property objective time within which an answer, or the first event of a stream, is on time.
 * @property longestPause longest pause between events of a stream that is on time.
 * @property priority rank of the requests; 0 is the highest.
 */
public data class Route(
    val name: String,
    val host: String,
    val prefix: String,
    val repeatability: Repeatability,
    val services: List<WeightedService>,
    val isStream: Boolean = false,
    val isResumable: Boolean = false,
    val isPublic: Boolean = false,
    val models: List<ModelId> = emptyList(),
    val attemptLimit: Int = 1,
    val timeout: Duration = DefaultTimeout,
    val objective: Duration = timeout,
    val longestPause: Duration = timeout,
    val priority: Int = 0,
) {
    /** Whether a request that may have run may be sent again. */
    val isRepeatable: Boolean get() = if (isStream) isResumable else repeatability == Repeatability.IDEMPOTENT

    private companion object {
        /** Used when the configuration sets none: the longest time that interactive callers usually wait. */
        val DefaultTimeout = 30_000.milliseconds
    }
}

/**
 * A service that endpoints provide.
 *
 * @property connectionLimit connections that one endpoint accepts from all callers together.
 * @property memoryTokens capacity of an endpoint's memory in tokens; `null` for a service without model engines.
 * @property coldRequestsPerSecond requests per second that a cold endpoint bears from all callers together; `null` if
 * cold endpoints are not limited.
 * @property coldStart time for which an endpoint is cold after its start.
 */
public data class ServiceDescription(
    val service: ServiceId,
    val connectionLimit: Int,
    val memoryTokens: Long? = null,
    val coldRequestsPerSecond: Double? = null,
    val coldStart: Duration = Duration.ZERO,
)

/** Limits on what a caller may send. */
public data class CallerLimits(
    val headerBytes: Int = 16_384,
    val bodyBytes: Int = 4_194_304,
    val headerTimeout: Duration = 3_000.milliseconds,
    val idleTimeout: Duration = 15_000.milliseconds,
)

/** A client account; [priority] overrides that of a route. */
public data class ClientAccount(val account: ClientAccountId, val priority: Int?)

/**
 * One version of the operator's configuration, immutable.
 *
 * @property revision store revision of this version.
 * @property requiresKey whether requests need an API key, except on public routes; also when no account has one.
 * @property accounts client accounts by API key.
 */
public class RoutingConfiguration(
    public val revision: StoreRevision,
    public val version: Long,
    public val routes: List<Route>,
    services: List<ServiceDescription>,
    public val limits: CallerLimits,
    public val requiresKey: Boolean,
    private val accounts: Map<String, ClientAccount>,
) {
    private val byHost: Map<String, Map<String, Route>> =
        routes.groupBy(Route::host).mapValues { (_, hostRoutes) -> hostRoutes.associateBy(Route::prefix) }

    /** The services by id. */
    public val services: Map<ServiceId, ServiceDescription> = services.associateBy(ServiceDescription::service)

    /** Returns the route of [host] with the longest prefix of [path]; `null` when there is none. */
    public fun route(host: String, path: String): Route? {
        val prefixes = byHost[host] ?: return null
        var end = path.lastIndexOf('/')
        while (end >= 0) {
            prefixes[path.substring(0, end + 1)]?.let { return it }
            end = if (end == 0) -1 else path.lastIndexOf('/', end - 1)
        }
        return null
    }

    /** Returns the client account that holds the API key [key]; `null` when there is none. */
    public fun account(key: String): ClientAccount? = accounts[key]
}
