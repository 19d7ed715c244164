package io.quetzalfield.replay

import io.quetzalfield.decision.RouteRequest
import io.quetzalfield.decision.checkPermission
import io.quetzalfield.model.ClientAccount
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.model.SessionId
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Replays [trace] under [policy]; the same [seed] gives the same measures. */
public fun replay(trace: Trace, policy: NamedPolicy, seed: Long = 0): ReplayMeasures =
    replayWith(trace, policy.label, policy.create, seed)

/** Replays [trace] under the policy that [create] builds; [label] names it in the measures. */
internal fun replayWith(
    trace: Trace,
    label: String,
    create: (PolicyContext) -> ReplayPolicy,
    seed: Long = 0,
): ReplayMeasures = Replay(trace, label, create, seed).run()

/** One replay: handles the events of the trace in order of time and simulates each request until it ends. */
private class Replay(private val trace: Trace, label: String, create: (PolicyContext) -> ReplayPolicy, seed: Long) {
    private val loop = EventLoop()
    private val fleet = FleetModel(trace.header, loop)
    private val measures = MeasureCollector(label, trace)
    private val policy = create(PolicyContext(trace, loop.timeSource, Random(seed)) { loop.now })
    private val pins = HashMap<SessionId, ModelVersionReference>()
    private val badVersions = trace.events.filterIsInstance<TraceBadVersion>()
    private val execution = RequestExecution(loop, fleet, policy, measures, Random(seed), trace, ::isBad)
    private var snapshot = ListsSnapshot(trace.header.lists)

    fun run(): ReplayMeasures {
        policy.feedback.onLists(snapshot)
        for (event in trace.events) {
            loop.schedule(event.timeMilliseconds.milliseconds) { handle(event) }
        }
        loop.run()
        val healthyStops = policy.feedback.stoppedVersions() - badVersions.map { it.version }.toSet()
        return measures.result(healthyStops.size)
    }

    private fun handle(event: TraceEvent) {
        when (event) {
            is TraceRequest -> receive(event)
            is TraceRunnerReport -> fleet.report(event)
            is TraceListsChange -> changeLists(ListsSnapshot(event.lists))
            is TraceRunnerLoss -> loseRunner(event)
            is TraceBadVersion -> Unit
        }
    }

    private fun changeLists(changed: ListsSnapshot) {
        snapshot = changed
        policy.feedback.onLists(changed)
    }

    private fun loseRunner(event: TraceRunnerLoss) {
        fleet.fail(event.runner)
        loop.schedule(event.untilMilliseconds.milliseconds) { fleet.runner(event.runner).recover() }
    }

    private fun receive(request: TraceRequest) {
        measures.onRequest(request.account)
        val account =
            snapshot.account(request.account)
                ?: return measures.onRefusal(request.account, RefusalReason.UNKNOWN_API_KEY)
        val plan =
            snapshot.plan(account.plan) ?: return measures.onRefusal(request.account, RefusalReason.NOT_ALLOWED_BY_PLAN)
        val job = Job(request, plan, loop.now)
        val refusal = route(job) ?: admit(job, account)
        if (refusal == null) execution.start(job) else execution.refuse(job, refusal)
    }

    private fun admit(job: Job, account: ClientAccount): NotRun? {
        val request = ReplayAdmissionRequest(
            account = account,
            plan = job.plan,
            version = job.version,
            expectedTokens = job.request.answerTokens,
            pressure = fleet.pressure(),
        )
        return policy.admission.admit(request).onRight { job.onEnd = it }.leftOrNull()
    }

    /** Sets the route of [job] to the version its session is pinned to or, without a pin, to the policy's choice. */
    private fun route(job: Job): NotRun? {
        val session = job.request.session
        val pin = session?.let(pins::get)
        if (pin != null) {
            job.stages = listOf(pin)
            return checkPermission(snapshot, job.plan.id, pin, isOnVersion = true)
        }
        val maximumStages = if (session == null) RouteRequest.DEFAULT_MAXIMUM_STAGES else 1
        val request = RouteRequest(
            plan = job.plan,
            kind = job.request.kind,
            expectedTokens = job.request.answerTokens,
            maximumStages = maximumStages,
        )
        return policy.routes.choose(request, snapshot, policy.feedback.stoppedVersions()).fold({ it }) { route ->
            job.stages = route.stages
            job.gate = route.gate
            if (session != null) pins[session] = route.stages.first()
            route.stages.firstNotNullOfOrNull { checkPermission(snapshot, job.plan.id, it, isOnVersion = false) }
        }
    }

    private fun isBad(version: ModelVersionReference, time: Long): Boolean =
        badVersions.any { it.version == version && time in it.timeMilliseconds until it.untilMilliseconds }
}
