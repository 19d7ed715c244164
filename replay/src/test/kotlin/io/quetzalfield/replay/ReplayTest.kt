package io.quetzalfield.replay

import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.model.RequestPriority
import io.quetzalfield.model.RunnerId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.io.path.fileSize
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class RunnerModelTest {
    private val loop = EventLoop()
    private val version = reference("small@1")
    private val runner = RunnerModel(
        TraceRunner(
            id = RunnerId("runner-1"),
            failureDomain = FailureDomainId("domain-1"),
            slots = 1,
            promptTokensPerSecond = 100.0,
            prefixCapacity = 1,
            versions = listOf(version),
        ),
        millisecondsPerToken = mapOf(version to 10.0),
        loop,
    )
    private val firstTokens = mutableListOf<Duration>()
    private var lost = 0

    private fun attempt(prefix: Long = 0, priority: RequestPriority = RequestPriority.NORMAL) = Attempt(
        version = version,
        priority = priority,
        prefix = prefix,
        promptTokens = 99,
        answerTokens = 10,
        onStart = { firstTokens += it.at(1) },
        onLost = { lost++ },
    )

    @Test
    fun `a cached prefix shortens the time to the first token until it is evicted`() {
        for (prefix in listOf(1L, 1L, 2L, 1L)) {
            val attempt = attempt(prefix)
            runner.offer(attempt)
            runner.release(attempt)
        }
        assertEquals(listOf(1.0, 0.208, 1.0, 1.0), firstTokens.map { it / 1.seconds })
    }

    @Test
    fun `a full runner starts waiting attempts by priority`() {
        val first = attempt()
        val background = attempt(priority = RequestPriority.BACKGROUND)
        val interactive = attempt(priority = RequestPriority.INTERACTIVE)
        listOf(first, background, interactive).forEach(runner::offer)
        assertEquals(3, runner.requestCount)
        runner.release(first)
        runner.release(interactive)
        assertEquals(3, firstTokens.size)
        assertEquals(1, runner.requestCount)
        assertTrue(interactive.isOver && !background.isOver)
    }

    @Test
    fun `a failed runner loses its running and waiting attempts`() {
        repeat(3) { runner.offer(attempt()) }
        runner.fail()
        assertEquals(3, lost)
        assertEquals(0, runner.requestCount)
    }
}

class ReplayTest {
    @TempDir
    lateinit var directory: Path

    private val trace = generateTrace(KalkkilaDeployment, GeneratorSettings(seed = 2, requests = 3_000))
    private val measures: Map<NamedPolicy, ReplayMeasures> by lazy {
        NamedPolicy.entries.associateWith { replay(trace, it) }
    }

    private fun measure(policy: NamedPolicy): ReplayMeasures = measures.getValue(policy)

    @Nested
    inner class Accounting {
        @Test
        fun `every request ends as one answer, refusal or interruption`() {
            for (result in measures.values) {
                val ended = result.answers + result.refusals.values.sum() + result.interruptions.values.sum()
                assertEquals(result.requests, ended, result.policy)
                assertEquals(trace.requests.size, result.requests, result.policy)
            }
        }

        @Test
        fun `the same seed gives the same measures`() {
            assertEquals(measure(NamedPolicy.CASCADE), replay(trace, NamedPolicy.CASCADE))
        }

        @Test
        fun `no session continues on a withdrawn version`() {
            val refusals = measure(NamedPolicy.DIRECT_PER_PLAN).refusals
            assertTrue(refusals.keys.all { it == RefusalReason.VERSION_WITHDRAWN }, "$refusals")
        }
    }

    @Nested
    inner class Policies {
        @Test
        fun `the cascade costs less than always-best and passes more than always-cheapest`() {
            val cascade = measure(NamedPolicy.CASCADE)
            assertTrue(cascade.costPerAcceptedAnswer < 0.7 * measure(NamedPolicy.ALWAYS_BEST).costPerAcceptedAnswer)
            assertTrue(cascade.passShare > measure(NamedPolicy.ALWAYS_CHEAPEST).passShare + 0.02)
        }

        @Test
        fun `the oracle on average costs no more than the oracle`() {
            val onAverage = measure(NamedPolicy.ORACLE_ON_AVERAGE).costPerAcceptedAnswer
            assertTrue(onAverage <= measure(NamedPolicy.ORACLE).costPerAcceptedAnswer)
        }
    }

    @Nested
    inner class Reports {
        @Test
        fun `the table has a column per policy and a row per measure`() {
            val table = replayTable(measures.values.map { summarise(listOf(it)) }).lines()
            assertTrue(NamedPolicy.entries.all { "| ${it.label} |" in table.first() })
            assertTrue(Measure.entries.all { measure -> table.any { it.startsWith("| ${measure.title} |") } })
        }

        @Test
        fun `a confidence interval is reported for several seeds`() {
            val settings = GeneratorSettings(seed = 1, requests = 500)
            val policies = listOf(NamedPolicy.CASCADE, NamedPolicy.ORACLE)
            val summaries = replaySeeds(AssociationDeployment, listOf(1, 2, 3), policies, settings)
            assertEquals(policies.map { it.label }, summaries.map { it.policy })
            assertTrue(summaries.all { it.measures.getValue(Measure.COST).halfWidth > 0 })
        }

        @Test
        fun `a plot is written per measure`() {
            val paths = writePlots(measures.values.map { summarise(listOf(it)) }, directory)
            assertEquals(Measure.entries.size, paths.size)
            assertTrue(paths.all { it.fileSize() > 0 })
        }
    }
}
