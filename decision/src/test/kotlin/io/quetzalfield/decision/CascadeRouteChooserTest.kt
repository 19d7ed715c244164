package io.quetzalfield.decision

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
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.model.VersionId
import io.quetzalfield.model.VersionState
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

private val SMALL = reference("small@1")
private val LARGE = reference("large@1")
private val NEW_SMALL = reference("small@2")
private const val KIND = "question"

private fun reference(text: String) = checkNotNull(ModelVersionReference.parse(text))

private fun version(id: String, cost: Double, prior: Double, share: Double? = null) =
    ModelVersion(VersionId(id), costPerThousandTokens = cost, priorQuality = prior, newSessionShare = share)

private fun snapshot(smallVersions: List<ModelVersion> = listOf(version("1", 1.0, 0.8))): ListsSnapshot {
    val models = listOf(
        Model(ModelId("small"), smallVersions),
        Model(ModelId("large"), listOf(version("1", 10.0, 0.98))),
    )
    val allowed = models.flatMap { model -> model.versions.map { ModelVersionReference(model.id, it.id) } }
    val lists = ModelList(models, permissions = listOf(PlanPermission(PlanId("bench"), allowed)))
    return ListsSnapshot(OperatorLists(ListsRevision(1), ClientPlanList(), lists))
}

private fun request(target: Double = 0.9, stages: Int = 2) =
    RouteRequest(Plan(PlanId("bench"), target), KIND, maximumStages = stages)

/** Records ratings; low scores predict failed answers if [informative], otherwise scores are independent of them. */
private fun LearnedQualityEstimates.learn(informative: Boolean, passRate: Double, count: Int = 3_000) {
    val random = Random(7)
    repeat(count) {
        val passes = random.nextDouble() < passRate
        val score = if (informative) (if (passes) 0.9 else 0.1) else random.nextDouble()
        recordScore(SMALL, KIND, score)
        recordRating(RatedAnswer(SMALL, KIND, passes, score))
        recordRating(RatedAnswer(LARGE, KIND, random.nextDouble() < 0.98))
    }
}

class CascadeRouteChooserTest {
    private val estimates = LearnedQualityEstimates()
    private val latencies = LatencyEstimates { VersionLatency(100.milliseconds, 10.milliseconds) }

    private fun chooser(exploration: ExplorationPlan = ExplorationPlan.None) = CascadeRouteChooser(
        CascadeSettings(DecisionWeights.WateringAdvice, exploration = exploration),
        estimates,
        latencies,
        Random(1),
    )

    private fun route(
        request: RouteRequest = request(),
        snapshot: ListsSnapshot = snapshot(),
        excluded: Set<ModelVersionReference> = emptySet(),
    ): Route = checkNotNull(chooser().choose(request, snapshot, excluded).getOrNull())

    @Nested
    inner class Choice {
        @Test
        fun `a cheap version that meets the target answers alone`() {
            estimates.learn(informative = false, passRate = 0.97)
            assertEquals(listOf(SMALL), route().stages)
        }

        @Test
        fun `an informative score leads to a cascade`() {
            estimates.learn(informative = true, passRate = 0.7)
            val route = route()
            assertEquals(listOf(SMALL, LARGE), route.stages)
            assertTrue(checkNotNull(route.gate).minimumScore in 0.1..0.9)
        }

        @Test
        fun `an uninformative score leads to no cascade`() {
            estimates.learn(informative = false, passRate = 0.5)
            assertEquals(listOf(LARGE), route().stages)
        }

        @Test
        fun `the route has one stage where a single version must answer`() {
            estimates.learn(informative = true, passRate = 0.7)
            val route = route(request(stages = 1))
            assertEquals(listOf(LARGE), route.stages)
            assertNull(route.gate)
        }

        @Test
        fun `the best version is used and reported as insufficient when no route meets the target`() {
            val route = route(request(target = 0.999))
            assertEquals(LARGE, route.stages.last())
            val passedOver = route.considered.mapNotNull { it.passedOverBecause }
            assertTrue(passedOver.all { "no route reaches the target" in it }, "$passedOver")
        }

        @Test
        fun `stopped and withdrawn versions are not considered`() {
            estimates.learn(informative = false, passRate = 0.97)
            assertEquals(listOf(LARGE), route(excluded = setOf(SMALL)).stages)
            val withdrawn = listOf(version("1", 1.0, 0.8).copy(state = VersionState.WITHDRAWN))
            assertEquals(listOf(LARGE), route(snapshot = snapshot(withdrawn)).stages)
        }

        @Test
        fun `a request without an eligible version is refused`() {
            val refusal = chooser().choose(request(), snapshot(), setOf(SMALL, LARGE)).leftOrNull()
            assertEquals(RefusalReason.NOT_ALLOWED_BY_PLAN, refusal?.refusal)
        }
    }

    @Nested
    inner class Rollout {
        @Test
        fun `a version that is rolled out gets its share of the routes of its baseline`() {
            estimates.learn(informative = false, passRate = 0.97)
            val lists = snapshot(listOf(version("1", 1.0, 0.8), version("2", 1.0, 0.8, share = 0.25)))
            val chooser = RolloutRouteChooser(chooser(), Random(5))
            val first = List(2_000) { chooser.choose(request(), lists, emptySet()).getOrNull()?.stages?.first() }
            assertTrue(first.all { it == SMALL || it == NEW_SMALL })
            assertTrue(first.count { it == NEW_SMALL } in 430..570)
        }
    }

    @Nested
    inner class Exploration {
        @Test
        fun `only requests without a session explore, and only the planned share of them`() {
            val chooser = chooser(ExplorationPlan(firstShare = 0.2, lastShare = 0.02, decisions = 100))
            val regular = route().stages
            fun chooseRepeatedly(stages: Int) = List(2_000) {
                chooser.choose(request(stages = stages), snapshot(), emptySet()).getOrNull()?.stages
            }
            val explored = chooseRepeatedly(stages = 2)
            assertTrue(explored.take(100).count { it != regular } in 1..30)
            assertTrue(explored.drop(1_000).count { it != regular } <= 40)
            assertEquals(1, chooseRepeatedly(stages = 1).distinct().size)
        }
    }
}
