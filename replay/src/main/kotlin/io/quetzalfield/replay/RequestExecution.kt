package io.quetzalfield.replay

import io.quetzalfield.decision.AcceptanceGate
import io.quetzalfield.decision.Escalation
import io.quetzalfield.decision.RunnerRequest
import io.quetzalfield.decision.VersionLatency
import io.quetzalfield.model.InterruptionReason
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.Plan
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.model.RunnerId
import kotlin.math.min
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A request in progress and its route. */
internal class Job(val request: TraceRequest, val plan: Plan, val arrival: Duration) {
    var onEnd: (Int) -> Unit = {}
    var stages: List<ModelVersionReference> = emptyList()
    var gate: AcceptanceGate? = null
    var stage = 0
    var attempts = 0
    var escalation: Escalation? = null
    var firstTokenAt: Duration? = null

    val version: ModelVersionReference get() = stages[stage]
    val outcome: AnswerOutcome get() = request.outcomes.getValue(version)
    val isGated: Boolean get() = gate != null && stage < stages.lastIndex
}

/** Runs jobs on runners, stage by stage, and records their results. */
internal class RequestExecution(
    private val loop: EventLoop,
    private val fleet: FleetModel,
    private val policy: ReplayPolicy,
    private val measures: MeasureCollector,
    private val random: Random,
    trace: Trace,
    private val isBad: (ModelVersionReference, Long) -> Boolean,
) {
    private val domains = trace.header.runners.map { it.failureDomain }.distinct()
    private val costs = costs(trace)
    private val initialVersions = ListsSnapshot(trace.header.lists)

    private class Run(val job: Job, val runner: RunnerId, val sentAt: Duration) {
        lateinit var attempt: Attempt
    }

    fun start(job: Job) {
        val request = RunnerRequest(
            version = job.version,
            ownFailureDomain = domains.random(random),
            prefixHash = job.request.prefix,
            priority = job.plan.priority,
        )
        val runner = policy.runners.choose(request, fleet.views())
        if (runner == null) {
            refuse(job, NotRun(RefusalReason.NO_RUNNER, "no runner serves ${job.version}"))
            return
        }
        job.attempts++
        val run = Run(job, runner.id, loop.now)
        run.attempt = attempt(run)
        fleet.send(runner.id, run.attempt)
    }

    fun refuse(job: Job, refusal: NotRun) {
        measures.onRefusal(job.request.account, refusal.refusal)
        job.onEnd(0)
    }

    private fun attempt(run: Run): Attempt = Attempt(
        version = run.job.version,
        priority = run.job.plan.priority,
        prefix = run.job.request.prefix,
        promptTokens = run.job.request.promptTokens,
        answerTokens = run.job.request.answerTokens,
        onStart = { times -> schedule(run, times) },
        onLost = { retry(run.job) },
    )

    private fun schedule(run: Run, times: AttemptTimes) {
        val job = run.job
        val gate = job.gate
        if (gate != null && job.isGated) {
            val gateTokens = min(gate.tokens, job.request.answerTokens)
            scheduleUnlessOver(run, times.at(gateTokens)) { applyGate(run, gate, gateTokens) }
        } else {
            scheduleUnlessOver(run, times.at(1)) { if (job.firstTokenAt == null) job.firstTokenAt = loop.now }
        }
        scheduleUnlessOver(run, times.at(job.request.answerTokens)) { finish(run, times) }
    }

    /** Schedules [action] for [time]; it does not run if the attempt is over by then. */
    private fun scheduleUnlessOver(run: Run, time: Duration, action: () -> Unit) {
        loop.schedule(time) { if (!run.attempt.isOver) action() }
    }

    private fun applyGate(run: Run, gate: AcceptanceGate, gateTokens: Int) {
        val job = run.job
        val score = job.outcome.score
        policy.feedback.onScore(job.version, job.request.kind, score)
        if (gate.accepts(score)) {
            job.firstTokenAt = loop.now
            return
        }
        charge(job, gateTokens)
        fleet.release(run.runner, run.attempt)
        job.escalation = Escalation(job.version, score)
        job.stage++
        start(job)
    }

    private fun finish(run: Run, times: AttemptTimes) {
        val job = run.job
        fleet.release(run.runner, run.attempt)
        charge(job, job.request.answerTokens)
        val isScored = job.isGated || job.escalation != null
        if (!isScored) policy.feedback.onScore(job.version, job.request.kind, job.outcome.score)
        val perToken = times.at(2) - times.at(1)
        policy.feedback.onLatency(job.version, VersionLatency(times.at(1) - run.sentAt, perToken))
        scheduleRating(job)
        measures.onAnswer(measured(job))
        job.onEnd(job.request.answerTokens)
    }

    private fun measured(job: Job): MeasuredAnswer = MeasuredAnswer(
        plan = job.plan,
        arrival = job.arrival,
        passes = job.outcome.passes,
        isByBadVersion = isBad(job.version, job.request.timeMilliseconds),
        isByNewVersion = initialVersions.version(job.version) == null,
        isEscalated = job.escalation != null,
        untilFirstToken = (job.firstTokenAt ?: loop.now) - job.arrival,
        untilEnd = loop.now - job.arrival,
    )

    private fun scheduleRating(job: Job) {
        val delay = job.request.ratingDelayMilliseconds ?: return
        val answer = ReplayedAnswer(job.version, job.request.kind, job.outcome.score, job.escalation)
        val passed = job.outcome.passes
        loop.schedule(loop.now + delay.milliseconds) { policy.feedback.onRating(answer, passed) }
    }

    /** Retries [job] after a lost attempt unless the caller has part of the answer or no attempts are left. */
    private fun retry(job: Job) {
        when {
            job.firstTokenAt != null -> interrupt(job, InterruptionReason.ANSWER_INCOMPLETE)
            job.attempts >= MAXIMUM_ATTEMPTS -> interrupt(job, InterruptionReason.RUNNER_CRASHED)
            else -> start(job)
        }
    }

    private fun interrupt(job: Job, reason: InterruptionReason) {
        measures.onInterruption(reason)
        job.onEnd(0)
    }

    private fun charge(job: Job, tokens: Int) {
        measures.onCost(job.arrival, costs.getValue(job.version) * tokens / TOKENS_PER_PRICE)
    }

    private fun costs(trace: Trace): Map<ModelVersionReference, Double> {
        val changes = trace.events.filterIsInstance<TraceListsChange>().map { it.lists }
        return (listOf(trace.header.lists) + changes)
            .flatMap { it.models.models }
            .flatMap { model -> model.versions.map { ModelVersionReference(model.id, it.id) to it } }
            .associate { (reference, version) -> reference to version.costPerThousandTokens }
    }

    private companion object {
        const val MAXIMUM_ATTEMPTS = 3
        const val TOKENS_PER_PRICE = 1_000
    }
}
