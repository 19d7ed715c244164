package io.quetzalfield.entry

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.quetzalfield.model.InterruptionReason
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.model.RequestFailure
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** The reason for a repeated attempt. */
public enum class RetryReason(public val label: String) {
    RUNNER_REFUSED("runner_refused"),
    RUNNER_UNREACHABLE("runner_unreachable"),
    ANSWER_INCOMPLETE("answer_incomplete"),
    CONNECTION_LOST("connection_lost"),
    RUNNER_CRASHED("runner_crashed"),
    RESUMED("resumed"),
}

/** The reason why a failed attempt was not repeated although its failure permits that. */
public enum class RetryObstacle(public val label: String) {
    BUDGET("budget"),
    DEADLINE("deadline"),
    CANNOT_RESUME("cannot_resume"),
}

/** The counters and histograms of an entry. */
public class EntryMetrics(public val registry: PrometheusRegistry = PrometheusRegistry()) {
    private val failures = Counter.builder()
        .name("quetzalfield_requests_failed_total")
        .help("Requests without a whole answer, by reason")
        .labelNames("reason")
        .register(registry)
    private val retries = Counter.builder()
        .name("quetzalfield_retries_total")
        .help("Attempts that followed another, by reason")
        .labelNames("reason")
        .register(registry)
    private val answers = Counter.builder()
        .name("quetzalfield_answers_total")
        .help("Whole answers, by model version")
        .labelNames("version")
        .register(registry)
    private val firstToken = Histogram.builder()
        .name("quetzalfield_first_token_seconds")
        .help("Time from the request to the first token")
        .register(registry)
    private val total = Histogram.builder()
        .name("quetzalfield_answer_seconds")
        .help("Time from the request to the end of the answer")
        .register(registry)

    private val bills = Counter.builder()
        .name("quetzalfield_bills_total")
        .help("Bills, by what their witness answered")
        .labelNames("witness")
        .register(registry)
    private val forwards = Counter.builder()
        .name("quetzalfield_forwards_total")
        .help("Requests whose home is another entry, by what came of the forwarding")
        .labelNames("outcome")
        .register(registry)

    private val escalations = Counter.builder()
        .name("quetzalfield_escalations_total")
        .help("First answers that were not accepted, by model version")
        .labelNames("version")
        .register(registry)
    private val refusedRetries = Counter.builder()
        .name("quetzalfield_retries_refused_total")
        .help("Failed attempts that were not followed by another, by reason")
        .labelNames("reason")
        .register(registry)
    private val runnerCrashes = Counter.builder()
        .name("quetzalfield_runner_crashes_total")
        .help("Requests that lost their runner by a crash")
        .register(registry)
    private val isolatedRuns = Counter.builder()
        .name("quetzalfield_isolated_runs_total")
        .help("Runs of requests that are suspected of crashing runners")
        .register(registry)
    private val quarantined = Gauge.builder()
        .name("quetzalfield_quarantined_fingerprints")
        .help("Fingerprints of requests that are refused as they crash runners")
        .register(registry)
    private val disconnectedCallers = Counter.builder()
        .name("quetzalfield_callers_gone_total")
        .help("Attempts that were cancelled because the caller had gone")
        .register(registry)
    private val ratingsDropped = Counter.builder()
        .name("quetzalfield_ratings_dropped_total")
        .help("Answers that were not handed in to be rated because the queue was full")
        .register(registry)
    private val versionStops = Counter.builder()
        .name("quetzalfield_version_stops_total")
        .help("Versions stopped ahead of the lists, by where the stop came from")
        .labelNames("origin")
        .register(registry)

    init {
        // Exposes every reason from the start, so that an alarm on a rate detects the first occurrence.
        RefusalReason.entries.forEach { failures.initLabelValues(it.code) }
        InterruptionReason.entries.forEach { failures.initLabelValues(it.code) }
        RetryReason.entries.forEach { retries.initLabelValues(it.label) }
        WitnessOutcome.entries.forEach { bills.initLabelValues(it.label) }
        RetryObstacle.entries.forEach { refusedRetries.initLabelValues(it.label) }
        ForwardOutcome.entries.forEach { forwards.initLabelValues(it.label) }
    }

    public fun countBill(outcome: WitnessOutcome) {
        bills.labelValues(outcome.label).inc()
    }

    public fun countForward(outcome: ForwardOutcome) {
        forwards.labelValues(outcome.label).inc()
    }

    public fun countEscalation(version: String) {
        escalations.labelValues(version).inc()
    }

    public fun countRetryRefused(obstacle: RetryObstacle) {
        refusedRetries.labelValues(obstacle.label).inc()
    }

    public fun countRunnerCrash() {
        runnerCrashes.inc()
    }

    public fun countIsolatedRun() {
        isolatedRuns.inc()
    }

    public fun setQuarantined(count: Int) {
        quarantined.set(count.toDouble())
    }

    public fun countCallerDisconnected() {
        disconnectedCallers.inc()
    }

    public fun countRatingDropped() {
        ratingsDropped.inc()
    }

    public fun countVersionStop(origin: String) {
        versionStops.labelValues(origin).inc()
    }

    public fun countFailure(failure: RequestFailure) {
        failures.labelValues(failure.reason).inc()
    }

    public fun countRetry(reason: RetryReason) {
        retries.labelValues(reason.label).inc()
    }

    public fun countAnswer(version: String, untilFirstToken: Duration, untilEnd: Duration) {
        answers.labelValues(version).inc()
        firstToken.observe(untilFirstToken.toDouble(DurationUnit.SECONDS))
        total.observe(untilEnd.toDouble(DurationUnit.SECONDS))
    }
}
