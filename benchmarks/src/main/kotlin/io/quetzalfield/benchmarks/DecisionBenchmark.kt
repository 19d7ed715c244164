package io.quetzalfield.benchmarks

import io.quetzalfield.decision.AdmissionControl
import io.quetzalfield.decision.AdmissionRequest
import io.quetzalfield.decision.AllowanceShare
import io.quetzalfield.decision.CheapestSufficientRouteChooser
import io.quetzalfield.decision.ExpectedFinishRunnerChooser
import io.quetzalfield.decision.LeastLoadedRunnerChooser
import io.quetzalfield.decision.RolloutRouteChooser
import io.quetzalfield.decision.RouteRequest
import io.quetzalfield.decision.RunnerChooser
import io.quetzalfield.decision.RunnerRequest
import io.quetzalfield.decision.RunnerView
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.ClientPlanList
import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.Model
import io.quetzalfield.model.ModelId
import io.quetzalfield.model.ModelList
import io.quetzalfield.model.ModelVersion
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.OperatorLists
import io.quetzalfield.model.Plan
import io.quetzalfield.model.PlanId
import io.quetzalfield.model.PlanPermission
import io.quetzalfield.model.RunnerId
import io.quetzalfield.model.VersionId
import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.BenchmarkMode
import org.openjdk.jmh.annotations.Mode
import org.openjdk.jmh.annotations.OutputTimeUnit
import org.openjdk.jmh.annotations.Scope
import org.openjdk.jmh.annotations.State
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.minutes

private const val VERSIONS = 7
private const val RUNNERS = 64
private const val FAILURE_DOMAINS = 4
private const val WARM_PREFIXES = 1_000L
private const val TOKENS_PER_MINUTE = 1e12

/** A complete decision: admission, route choice among seven versions, and runner choice among a subset of 64. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public open class DecisionBenchmark {
    private val plan = Plan(PlanId("plan"), qualityTarget = 0.8)
    private val versions = List(VERSIONS) { index ->
        ModelVersionReference(ModelId("model-$index"), VersionId("1"))
    }
    private val snapshot = ListsSnapshot(lists())
    private val runners = List(RUNNERS, ::runner)
    private val routes = RolloutRouteChooser(CheapestSufficientRouteChooser())
    private val expectedFinish: RunnerChooser = ExpectedFinishRunnerChooser()
    private val admission = AdmissionControl(AllowanceShare { TOKENS_PER_MINUTE })
    private val routeRequest = RouteRequest(plan, kind = "general")
    private val admissionRequest = AdmissionRequest(
        account = ClientAccountId("account"),
        expectedTokens = 1,
        deadline = 1.minutes,
    )
    private var prefix = 0L

    /** Admission, route choice and runner choice. */
    @Benchmark
    public fun wholeDecision(): RunnerView? {
        val admitted = admission.admit(admissionRequest).getOrNull() ?: return null
        val runner = routeAndRunner()
        admitted.finish(1)
        return runner
    }

    /** Route choice and runner choice, without admission. */
    @Benchmark
    public fun routeAndRunner(): RunnerView? {
        val route = routes.choose(routeRequest, snapshot, emptySet()).getOrNull() ?: return null
        return expectedFinish.choose(runnerRequest(route.stages.first()), runners)
    }

    /** Runner choice only. */
    @Benchmark
    public fun runner(): RunnerView? = expectedFinish.choose(runnerRequest(versions.first()), runners)

    /** Runner choice of the baseline only. */
    @Benchmark
    public fun leastLoadedRunner(): RunnerView? =
        LeastLoadedRunnerChooser.choose(runnerRequest(versions.first()), runners)

    private fun runnerRequest(version: ModelVersionReference) =
        RunnerRequest(version, FailureDomainId("domain-0"), prefixHash = prefix++ % WARM_PREFIXES)

    private fun lists(): OperatorLists = OperatorLists(
        revision = ListsRevision(1),
        plans = ClientPlanList(plans = listOf(plan)),
        models = ModelList(
            models = versions.mapIndexed { index, version ->
                val quality = (index + 1).toDouble() / (VERSIONS + 1)
                Model(
                    version.model,
                    listOf(ModelVersion(version.version, costPerThousandTokens = quality, priorQuality = quality)),
                )
            },
            permissions = listOf(PlanPermission(plan.id, versions)),
        ),
    )

    private fun runner(index: Int): RunnerView = RunnerView(
        id = RunnerId("runner-$index"),
        address = "http://127.0.0.1:${index + 1}",
        failureDomain = FailureDomainId("domain-${index % FAILURE_DOMAINS}"),
        versions = versions.toSet(),
        reportedRequests = index % VERSIONS,
        cachedPrefixes = (0 until WARM_PREFIXES step index + 1L).toSet(),
    )
}
