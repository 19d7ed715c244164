package io.quetzalfield.decision

import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.RequestPriority
import io.quetzalfield.model.RunnerId
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

private val VERSION = checkNotNull(ModelVersionReference.parse("advisor@1"))
private val NEAR = FailureDomainId("domain-1")
private val FAR = FailureDomainId("domain-2")

private fun runner(
    id: String,
    load: Int = 0,
    sent: Int = 0,
    domain: FailureDomainId = NEAR,
    warm: Set<Long> = emptySet(),
) = RunnerView(
    id = RunnerId(id),
    address = "http://127.0.0.1:1",
    failureDomain = domain,
    versions = setOf(VERSION),
    reportedRequests = load,
    sentSinceReport = sent,
    cachedPrefixes = warm,
)

class ExpectedFinishRunnerChooserTest {
    private val chooser = ExpectedFinishRunnerChooser(random = Random(1))

    private fun choose(vararg runners: RunnerView, request: RunnerRequest = RunnerRequest(VERSION, NEAR)): String? =
        chooser.choose(request, runners.toList())?.id?.value

    @Nested
    inner class Choice {
        @Test
        fun `each case chooses the runner with the earliest expected finish`() {
            val cases = mapOf(
                choose(runner("a", load = 5), runner("b", load = 2)) to "b",
                choose(runner("a", load = 1, sent = 6), runner("b", load = 3)) to "b",
                choose(runner("a", load = 6, sent = -5), runner("b", load = 3)) to "a",
                choose(runner("a", domain = FAR), runner("b", domain = NEAR)) to "b",
                choose(runner("a", domain = FAR), runner("b", load = 8, domain = NEAR)) to "a",
            )
            for ((chosen, expected) in cases) assertEquals(expected, chosen)
        }

        @Test
        fun `a cached prefix outweighs a small difference in load but not a queue`() {
            val request = RunnerRequest(VERSION, NEAR, prefixHash = 7)
            assertEquals("a", choose(runner("a", load = 1, warm = setOf(7)), runner("b"), request = request))
            assertEquals("b", choose(runner("a", load = 12, warm = setOf(7)), runner("b"), request = request))
        }

        @Test
        fun `requests with the same prefix go to the same runner before any cache event arrives`() {
            val runners = List(20) { runner("runner-$it") }
            val chosen = (1..50).map {
                chooser.choose(RunnerRequest(VERSION, NEAR, prefixHash = 99), runners)?.id
            }
            assertEquals(1, chosen.toSet().size)
        }

        @Test
        fun `a background request leaves the last slots free for interactive ones`() {
            val near = runner("a", load = 7)
            val far = runner("b", load = 6, domain = FAR)
            val chooser = ExpectedFinishRunnerChooser(RunnerChoiceWeights(otherDomainPenalty = 0.2), Random(1))
            val chosen = listOf(RequestPriority.INTERACTIVE, RequestPriority.BACKGROUND).map { priority ->
                chooser.choose(RunnerRequest(VERSION, NEAR, priority = priority), listOf(near, far))?.id?.value
            }
            assertEquals(listOf<String?>("a", "b"), chosen)
        }

        @Test
        fun `a runner that is excluded or has another version is never chosen`() {
            val other = runner("b").copy(versions = emptySet())
            assertNull(
                choose(runner("a"), other, request = RunnerRequest(VERSION, NEAR, excluded = setOf(RunnerId("a")))),
            )
        }
    }

    @Nested
    inner class HerdBehaviour {
        /**
         * The highest load of twelve runners when five entries place 60 requests and the reported loads are updated
         * only every twentieth request.
         */
        private fun highestLoad(choosers: List<RunnerChooser>): Int {
            val loads = IntArray(12)
            var views = loads.mapIndexed { index, load -> runner("runner-$index", load) }
            repeat(60) { round ->
                if (round % 20 == 0) views = loads.mapIndexed { index, load -> runner("runner-$index", load) }
                val chosen = choosers[round % choosers.size].choose(RunnerRequest(VERSION, NEAR), views)
                loads[views.indexOf(chosen)]++
            }
            return loads.max()
        }

        @Test
        fun `outdated reports do not make all entries choose the same runner`() {
            val sampled = highestLoad(List(5) { ExpectedFinishRunnerChooser(random = Random(it)) })
            val least = highestLoad(List(5) { LeastLoadedRunnerChooser })
            assertTrue(sampled <= 12 && least >= 20, "sampled $sampled, least loaded $least")
        }
    }

    @Nested
    inner class Subset {
        @Test
        fun `removing a runner changes one element of the subset`() {
            val names = List(200) { "runner-$it" }
            val before = runnerSubset(InstanceId("entry-1"), names, size = 64) { it }
            val after = runnerSubset(InstanceId("entry-1"), names - before[10], size = 64) { it }
            assertEquals(63, (before intersect after.toSet()).size)
        }
    }
}
