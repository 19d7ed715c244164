package io.quetzalfield.benchmarks

import io.quetzalfield.decision.CascadeSettings
import io.quetzalfield.decision.DecisionWeights
import io.quetzalfield.decision.LearningRouting
import io.quetzalfield.decision.RatedAnswer
import io.quetzalfield.decision.Route
import io.quetzalfield.decision.RouteRequest
import io.quetzalfield.model.ClientPlanList
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
import io.quetzalfield.model.VersionId
import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.BenchmarkMode
import org.openjdk.jmh.annotations.Mode
import org.openjdk.jmh.annotations.OutputTimeUnit
import org.openjdk.jmh.annotations.Scope
import org.openjdk.jmh.annotations.State
import java.util.concurrent.TimeUnit
import kotlin.random.Random

private const val VERSIONS = 7
private const val RATINGS = 10_000
private const val LOWEST_QUALITY = 0.6
private const val QUALITY_STEP = 0.05

/** Route choice only, with learned estimates of seven versions: evaluates seven single versions and 399 cascades. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public open class CascadeBenchmark {
    private val plan = Plan(PlanId("plan"), qualityTarget = 0.85)
    private val request = RouteRequest(plan, kind = "general")
    private val versions = List(VERSIONS) { ModelVersionReference(ModelId("model-$it"), VersionId("1")) }
    private val snapshot = ListsSnapshot(lists())
    private val routing = LearningRouting(CascadeSettings(DecisionWeights.WateringAdvice), Random.Default)

    init {
        val random = Random(1)
        repeat(RATINGS) {
            val index = random.nextInt(VERSIONS)
            val score = random.nextDouble()
            val passed = random.nextDouble() < quality(index)
            routing.qualities.recordScore(versions[index], request.kind, score)
            routing.qualities.recordRating(RatedAnswer(versions[index], request.kind, passed, score))
        }
    }

    /** Choice among single versions and cascades by learned estimates. */
    @Benchmark
    public fun cascadeRoute(): Route? = routing.chooser.choose(request, snapshot, emptySet()).getOrNull()

    private fun quality(index: Int): Double = LOWEST_QUALITY + index * QUALITY_STEP

    private fun lists(): OperatorLists {
        val models = versions.mapIndexed { index, version ->
            val listed =
                ModelVersion(version.version, costPerThousandTokens = index + 1.0, priorQuality = quality(index))
            Model(version.model, listOf(listed))
        }
        val permissions = listOf(PlanPermission(plan.id, versions))
        return OperatorLists(
            ListsRevision(1),
            ClientPlanList(listOf(plan)),
            ModelList(models, emptyList(), permissions),
        )
    }
}
