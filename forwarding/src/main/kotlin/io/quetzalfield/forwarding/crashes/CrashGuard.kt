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
 * Refuses requests that make endpoints end. Collects the evidence of this instance for a [CrashLedger], and watches
 * endpoints after a loss: a link that is cut, or calls that are reset, close connections too. Used on the event loop
 * only.
 *
 * @param endpointOf returns the endpoint with a start, `null` if that is not its present one.
 * @param trialRank place of this instance among those that may try a refused part again, 0 for the first.
 */
public class CrashGuard(
    private val eventLoop: EventLoop,
    private val connections: EndpointConnections,
    private val metrics: RouterMetrics,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val endpointOf: (RunnerId) -> Endpoint? = { null },
    trialRank: (CrashSuspect) -> Int = { 0 },
) {
    private val rules = CrashRules()
    private val ledger = CrashLedger(timeSource, rules, Listener(), trialRank)
    private val watches = LinkedHashMap<RunnerId, Watched>()
    private var isWatchScheduled = false
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

    /** Records that the connection for [candidate] to [endpoint], opened at [openedAt], was lost. */
    internal fun recordLoss(endpoint: Endpoint, candidate: CrashCandidate, openedAt: ComparableTimeMark? = null) {
        metrics.countSuspectedCrash()
        openedAt?.let { recordAlive(endpoint, it) }
        ledger.recordLoss(endpoint.startId, candidate)
        watch(endpoint, timeSource.markNow(), candidate.hasBegun)
        scheduleDecision()
        tellNews()
    }

    /** Records that [endpoint] has answered a request that was sent, or taken a connection, at [since]. */
    internal fun recordAlive(endpoint: Endpoint, since: ComparableTimeMark) {
        if (ledger.isEmpty || !ledger.recordAlive(endpoint.startId, since)) return
        watches -= endpoint.startId
        metrics.countRefutedCrash()
        DecisionLog.write("crash_refuted", "endpoint" to endpoint)
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
        val now = timeSource.markNow()
        for (report in news.losses) {
            if (report.isAlive) watches -= report.endpoint
            val age = report.ageMilliseconds.age()
            if (age < rules.confirmationTime) endpointOf(report.endpoint)?.let { watch(it, now - age, isTold = true) }
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

    private class Watched(
        val endpoint: Endpoint,
        val lostAt: ComparableTimeMark,
        val loss: LossWatch,
        val isTold: Boolean,
    ) {
        var probes = 0
        var hasCheckedLife = false
    }

    private fun watch(
        endpoint: Endpoint,
        lostAt: ComparableTimeMark,
        callHadBegun: Boolean = false,
        isTold: Boolean = false,
    ) {
        val start = endpoint.startId
        if (start in watches || !ledger.isUnconfirmed(start)) return
        val watched = Watched(endpoint, lostAt, LossWatch(endpoint, lostAt, rules, callHadBegun), isTold)
        watches[start] = watched
        if (!isTold || watched.loss.isDoubtful(traceOf(watched))) probe(watched)
        scheduleWatches()
    }

    private fun traceOf(watched: Watched) = connections.traceOf(watched.endpoint.description.address, watched.lostAt)

    private fun Watched.canShowLife(now: ComparableTimeMark): Boolean =
        loss.canShowLife(now, ledger.lostRequests(loss.start))

    private fun probe(watched: Watched) {
        watched.probes++
        val probedAt = timeSource.markNow()
        val canShowLife = watched.canShowLife(probedAt)
        watched.hasCheckedLife = watched.hasCheckedLife || canShowLife
        connections.probe(watched.endpoint.description.address) { failure ->
            watched.loss.isRefusing = failure == ConnectFailure.REFUSED
            if (watched.loss.isRefusing) judge(watched)
            if (failure == null && canShowLife && watched.endpoint.startId == watched.loss.start) {
                recordAlive(watched.endpoint, probedAt)
            }
        }
    }

    private fun scheduleWatches() {
        if (isWatchScheduled || watches.isEmpty()) return
        isWatchScheduled = true
        eventLoop.schedule(WatchPeriod) {
            isWatchScheduled = false
            for (watched in watches.values.toList()) {
                val isDoubtful = watched.probes < MAXIMUM_PROBES && watched.loss.isDoubtful(traceOf(watched))
                // The instance that lost a call finds out whether the endpoint takes connections; the others are told.
                val mustCheckLife = !watched.isTold && !watched.hasCheckedLife
                if (isDoubtful || (mustCheckLife && watched.canShowLife(timeSource.markNow()))) probe(watched)
                judge(watched)
            }
            scheduleWatches()
        }
    }

    private fun judge(watched: Watched) {
        val start = watched.loss.start
        if (watches[start] !== watched) return
        val verdict = watched.loss.verdict(timeSource.markNow(), traceOf(watched))
        if (verdict == LossVerdict.OPEN) return
        if (verdict != LossVerdict.BROKEN_OFF) watches -= start
        if (verdict != LossVerdict.UNDECIDED) confirm(watched, isCertain = verdict == LossVerdict.ENDED)
    }

    private fun confirm(watched: Watched, isCertain: Boolean) {
        val start = watched.loss.start
        if (ledger.isUnconfirmed(start)) {
            DecisionLog.write("crash_confirmed", "endpoint" to start.value, "by_entry" to isCertain)
            metrics.countConfirmedCrash()
        }
        // All see the entry; the one that lost a call there tells it to those that do not.
        ledger.confirm(start, isCertain, isTold = !(isCertain && watched.isTold))
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

        /** Connections to one endpoint after a loss; one that ends may still accept the first. */
        const val MAXIMUM_PROBES = 3

        /** Short compared with the time after which an entry shows the end of its process. */
        val WatchPeriod = 200.milliseconds
    }
}
