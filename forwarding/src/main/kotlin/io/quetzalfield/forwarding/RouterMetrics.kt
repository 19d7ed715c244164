package io.quetzalfield.forwarding

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.quetzalfield.forwarding.endpoints.LimitChange
import io.quetzalfield.forwarding.http.AnswerReason
import io.quetzalfield.forwarding.intake.IntakeMetrics
import io.quetzalfield.store.StoreEra
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** The reason for which a request was sent to an endpoint again. */
public enum class RepeatReason { CONNECT_FAILED, STATED_NOT_RUN, BROKEN, SILENT, SERVER_ERROR, LOW_CONFIDENCE, RESUMED }

/** The reason for which a request was not sent to an endpoint again. */
public enum class RepeatDenial { ATTEMPTS_SPENT, NO_TIME_LEFT, NO_ENDPOINT, NOT_REPEATABLE, BUDGET_SPENT }

/** When an endpoint sent bytes that belong to no request. */
public enum class UnexpectedBytes { WHILE_IDLE, AFTER_RESPONSE }

/** Counters and histograms of the data path. The counters of all reasons are exported from the start, as zero. */
public class RouterMetrics(public val registry: PrometheusRegistry = PrometheusRegistry()) {
    private val answers = Counter.builder().name("quetzalfield_answers_total")
        .help("Final answers by status class and route kind").labelNames("origin", "status").register(registry)
    private val own = Counter.builder().name("quetzalfield_own_answers_total")
        .help("Answers of this instance's own, by reason").labelNames("reason").register(registry)
    private val repeats = Counter.builder().name("quetzalfield_repeats_total")
        .help("Requests sent to an endpoint once more, by reason").labelNames("reason").register(registry)
    private val repeatDenials = Counter.builder().name("quetzalfield_repeats_denied_total")
        .help("Requests that were not sent to an endpoint once more, by reason").labelNames("reason").register(registry)
    private val unexpectedBytes = Counter.builder().name("quetzalfield_unexpected_bytes_total")
        .help("Connections on which an endpoint sent bytes that belong to no request").labelNames("when")
        .register(registry)
    private val connections = Counter.builder().name("quetzalfield_endpoint_connections_total")
        .help("Connections opened to endpoints").register(registry)
    private val cancelled = Counter.builder().name("quetzalfield_cancelled_total")
        .help("Requests whose caller left before the final answer").register(registry)
    private val sessionMoves = Counter.builder().name("quetzalfield_session_moves_total")
        .help("Requests sent to another version than the one before in their session at this instance")
        .register(registry)
    private val limitChanges = Counter.builder().name("quetzalfield_endpoint_limit_changes_total")
        .help("Limits on requests that endpoints named, changed or ended in their answers").labelNames("change")
        .register(registry)
    private val leaving = Counter.builder().name("quetzalfield_endpoints_leaving_total")
        .help("Endpoints that stated in an answer that they will end, before their entry did").register(registry)
    private val malformedStatements = Counter.builder().name("quetzalfield_malformed_statements_total")
        .help("Answers in which an endpoint's statement about itself could not be decoded").register(registry)
    private val suspectedCrashes = Counter.builder().name("quetzalfield_suspected_crashes_total")
        .help("Requests whose endpoint was lost before it had answered them, or as it began to").register(registry)
    private val confirmedCrashes = Counter.builder().name("quetzalfield_confirmed_crashes_total")
        .help("Losses of endpoints that are known to have ended").register(registry)
    private val refutedCrashes = Counter.builder().name("quetzalfield_refuted_crashes_total")
        .help("Losses of endpoints that answered or took a connection afterwards").register(registry)
    private val blamed = Counter.builder().name("quetzalfield_crash_suspects_blamed_total")
        .help("Requests and parts of prompts that are refused as endpoints end by them").labelNames("kind")
        .register(registry)
    private val cleared = Counter.builder().name("quetzalfield_crash_suspects_cleared_total")
        .help("Requests and parts of prompts that are no longer refused").register(registry)
    private val duration = Histogram.builder().name("quetzalfield_answer_seconds")
        .help("Time from the whole request to the final answer").register(registry)
    private val firstEvent = Histogram.builder().name("quetzalfield_first_event_seconds")
        .help("Time from the whole request to the first event passed on").register(registry)

    private val demoted = Counter.builder().name("quetzalfield_demoted_requests_total")
        .help("Requests that were less urgent as their client account sent many times its usual").register(registry)

    private val startError = Histogram.builder().name("quetzalfield_start_over_expected_ratio")
        .help("Time from the send of a request to the start of its answer, over the expected one")
        .classicUpperBounds(*StartErrorBounds).register(registry)

    private val evacuatedDomains = Gauge.builder().name("quetzalfield_evacuated_failure_domains")
        .help("Failure domains whose endpoints get nothing by order of the operator").register(registry)

    /** Metrics of what is held for callers. */
    public val intake: IntakeMetrics = IntakeMetrics(registry)

    init {
        CounterWithCallback.builder().name("quetzalfield_log_lines_dropped_total")
            .help("Log lines that were dropped as standard output did not take them in time")
            .callback { it.call(RouterLog.droppedLines.toDouble()) }
            .register(registry)
        AnswerReason.entries.forEach { own.initLabelValues(it.name.lowercase()) }
        RepeatReason.entries.forEach { repeats.initLabelValues(it.name.lowercase()) }
        RepeatDenial.entries.forEach { repeatDenials.initLabelValues(it.name.lowercase()) }
        UnexpectedBytes.entries.forEach { unexpectedBytes.initLabelValues(it.name.lowercase()) }
        listOf(PART, REQUEST).forEach { blamed.initLabelValues(it) }
        (LimitChange.entries - LimitChange.NONE).forEach { limitChanges.initLabelValues(it.name.lowercase()) }
    }

    /** Exports the era of the store, as [era] returns it. */
    internal fun exportStoreEra(era: () -> StoreEra) {
        GaugeWithCallback.builder().name("quetzalfield_store_era")
            .help("Number of times that the store was restored from a backup, as it last stated")
            .callback { it.call(era().value.toDouble()) }
            .register(registry)
    }

    /** Counts an answer of an endpoint, [after] the arrival of its request. */
    public fun countForwarded(status: Int, after: Duration) {
        answers.labelValues("endpoint", status.toString()).inc()
        duration.observe(after.toDouble(DurationUnit.SECONDS))
    }

    /** Counts an answer that this instance generated, [after] the arrival of its request. */
    public fun countOwn(status: Int, reason: AnswerReason, after: Duration) {
        answers.labelValues("own", status.toString()).inc()
        own.labelValues(reason.name.lowercase()).inc()
        duration.observe(after.toDouble(DurationUnit.SECONDS))
    }

    /** Counts a repeated send. */
    public fun countRepeat(reason: RepeatReason) {
        repeats.labelValues(reason.name.lowercase()).inc()
    }

    /** Counts a request that was not sent again. */
    public fun countRepeatDenied(reason: RepeatDenial) {
        repeatDenials.labelValues(reason.name.lowercase()).inc()
    }

    /** Counts a connection on which an endpoint sent bytes that belong to no request. */
    public fun countUnexpectedBytes(time: UnexpectedBytes) {
        unexpectedBytes.labelValues(time.name.lowercase()).inc()
    }

    /** Counts a connection opened to an endpoint. */
    public fun countConnection() {
        connections.inc()
    }

    /** Counts a request that was sent to another version than the previous request of its session. */
    public fun countSessionMove() {
        sessionMoves.inc()
    }

    /** Counts a change of the limit that an endpoint names. */
    public fun countLimitChange(change: LimitChange) {
        limitChanges.labelValues(change.name.lowercase()).inc()
    }

    /** Counts an endpoint that stated in an answer that it will end, before its entry in the store did. */
    public fun countLeaving() {
        leaving.inc()
    }

    /** Counts an answer in which an endpoint's statement about itself could not be decoded. */
    public fun countMalformedStatement() {
        malformedStatements.inc()
    }

    /** Counts a request whose endpoint was lost before it had answered it, or as it began to. */
    public fun countSuspectedCrash() {
        suspectedCrashes.inc()
    }

    /** Counts an endpoint that is known to have ended after its loss. */
    public fun countConfirmedCrash() {
        confirmedCrashes.inc()
    }

    /** Counts an endpoint that was lost and lives on. */
    public fun countRefutedCrash() {
        refutedCrashes.inc()
    }

    /** Counts a part of prompts, or else a request, that is refused from now on. */
    public fun countBlamed(isPart: Boolean) {
        blamed.labelValues(if (isPart) PART else REQUEST).inc()
    }

    /** Counts a part of prompts or a request that is no longer refused. */
    public fun countCleared() {
        cleared.inc()
    }

    /** Counts a request whose caller disconnected before the final answer. */
    public fun countCancelled() {
        cancelled.inc()
    }

    /** Counts a request that is less urgent because its account sends many times its usual. */
    public fun countDemoted() {
        demoted.inc()
    }

    /** Sets the number of failure domains that are evacuated. */
    public fun setEvacuatedDomains(count: Int) {
        evacuatedDomains.set(count.toDouble())
    }

    /** Records the first event of a stream, [after] the arrival of its request. */
    public fun observeFirstEvent(after: Duration) {
        firstEvent.observe(after.toDouble(DurationUnit.SECONDS))
    }

    /** Records that an answer expected to start after [expected] started after [measured]; nothing if unknown. */
    public fun observeStart(expected: Duration, measured: Duration) {
        if (expected > Duration.ZERO) startError.observe(measured / expected)
    }

    private companion object {
        val StartErrorBounds = doubleArrayOf(0.1, 0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0)
        const val PART = "part"
        const val REQUEST = "request"
    }
}
