package io.quetzalfield.forwarding.crashes

import io.netty.channel.EventLoop
import io.netty.util.concurrent.ScheduledFuture
import io.quetzalfield.forwarding.DecisionLog
import io.quetzalfield.forwarding.RouterMetrics
import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.http.ConnectFailure
import io.quetzalfield.forwarding.http.EndpointConnections
import io.quetzalfield.forwarding.schedule
import io.quetzalfield.model.RequestFingerprint
import io.quetzalfield.model.RunnerId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Refuses requests that make endpoints end. Collects the evidence of this instance for a [CrashLedger], and confirms
 * the loss of an endpoint by a connection that it refuses: a link that is cut, or connections that are reset, close
 * connections too. Used on the event loop only.
 *
 * @param trialRank place of this instance among those that may try a refused part again, 0 for the first.
 */
public class CrashGuard(
    private val eventLoop: EventLoop,
    private val connections: EndpointConnections,
    private val metrics: RouterMetrics,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    trialRank: (CrashSuspect) -> Int = { 0 },
) {
    private val ledger = CrashLedger(timeSource, listener = Listener(), trialRank = trialRank)
    private val checks = HashSet<RunnerId>()
    private val refusalListeners = LinkedHashSet<() -> Unit>()
    private var scheduledDecision: ScheduledFuture<*>? = null
    private var scheduledAt: ComparableTimeMark? = null

    /** Who told of the news that are being learned; `null` for evidence of this instance. */
    private var teller: Any? = null

    /** Called when there is something to tell the other instances. */
    public var onNews: () -> Unit = {}

    /** Whether nothing is recorded that could concern a request. */
    internal val isEmpty: Boolean get() = ledger.isEmpty

    /** Calls [listener] whenever more requests are refused, until [removeRefusalListener]. */
    internal fun addRefusalListener(listener: () -> Unit) {
        refusalListeners += listener
    }

    internal fun removeRefusalListener(listener: () -> Unit) {
        refusalListeners -= listener
    }

    /** Records that the connection for [candidate] to [endpoint] was lost. */
    internal fun recordLoss(endpoint: Endpoint, candidate: CrashCandidate) {
        metrics.countSuspectedCrash()
        ledger.recordLoss(endpoint.startId, candidate)
        if (ledger.isUnconfirmed(endpoint.startId) && checks.add(endpoint.startId)) {
            check(endpoint, endpoint.startId)
        }
        scheduleDecision()
        tellNews()
    }

    /** Records that an endpoint began at [startedAt] to answer a request with [parts] and did not end by it. */
    internal fun recordAnswer(parts: List<String>, startedAt: ComparableTimeMark) {
        if (parts.isEmpty()) return
        ledger.recordAnswer(parts, startedAt)
        tellNews()
    }

    /** Records that an endpoint answered a request; [request] returns its fingerprint. */
    internal fun recordAnswer(request: () -> RequestFingerprint) {
        if (!ledger.isEmpty) ledger.recordAnswer(request())
    }

    /** Whether a request with [parts] may be sent. */
    internal fun admission(parts: List<String>, request: () -> RequestFingerprint): CrashAdmission {
        val admission = ledger.admission(parts, request)
        if (admission is CrashAdmission.Trial) tellNews()
        return admission
    }

    /** Whether a request with [parts] that was sent already would be refused now. */
    internal fun isRefused(parts: List<String>, request: () -> RequestFingerprint): Boolean =
        ledger.isRefused(parts, request)

    /** Adds what [sender] tells. */
    internal fun learn(news: CrashNews, sender: Any) {
        teller = sender
        try {
            ledger.learn(news)
        } finally {
            teller = null
        }
        scheduleDecision()
        tellNews()
    }

    /** Returns what the other instances have not been told yet. */
    internal fun takeNews(): CrashNews = ledger.takeNews()

    /** Returns what makes up for lost messages. */
    internal fun recentNews(): CrashNews = ledger.recentNews()

    /** Returns the decisions of this instance, to be kept in the store. Call it several times per second. */
    internal fun ownDecisions(): List<BlameReport> {
        ledger.removeExpired()
        return ledger.ownDecisions()
    }

    private fun check(endpoint: Endpoint, start: RunnerId) {
        connections.probe(endpoint.description.address) { failure ->
            checks -= start
            if (failure == ConnectFailure.REFUSED) confirm(endpoint, start)
        }
    }

    private fun confirm(endpoint: Endpoint, start: RunnerId) {
        DecisionLog.write("crash_confirmed", "endpoint" to endpoint)
        metrics.countConfirmedCrash()
        ledger.confirm(start)
        scheduleDecision()
        tellNews()
    }

    private fun tellNews() {
        if (ledger.hasNews) onNews()
    }

    /** Schedules the next decision, or brings it forward. It is never put off, as evidence may come all the time. */
    private fun scheduleDecision() {
        val delay = ledger.timeUntilDecision?.coerceAtLeast(ShortestDecisionPause) ?: return
        val at = timeSource.markNow() + delay
        if (scheduledAt.let { it != null && it <= at }) return
        scheduledDecision?.cancel(false)
        scheduledAt = at
        scheduledDecision = eventLoop.schedule(delay, ::decide)
    }

    private fun decide() {
        scheduledAt = null
        ledger.decide()
        scheduleDecision()
        tellNews()
    }

    private inner class Listener : CrashListener {
        override fun onBlamed(
            suspect: CrashSuspect,
            endpoints: Collection<RunnerId>,
            age: Duration,
            isLearned: Boolean,
        ) {
            DecisionLog.write(
                "crash_blamed",
                "suspect" to suspect,
                "crashes" to endpoints.size,
                "endpoints" to endpoints.joinToString(","),
                "age" to age,
                "told_by" to teller.takeIf { isLearned },
            )
            metrics.countBlamed(suspect.isPart)
            // Later, as the evidence of the present event is still being recorded.
            eventLoop.execute { refusalListeners.toList().forEach { it() } }
        }

        override fun onCleared(suspect: CrashSuspect, reason: String) {
            DecisionLog.write("crash_cleared", "suspect" to suspect, "reason" to reason, "told_by" to teller)
            metrics.countCleared()
        }
    }

    private companion object {
        /** Combines the reports that all instances send on the loss of one endpoint. */
        val ShortestDecisionPause = 10.milliseconds
    }
}
