package io.quetzalfield.entry

import io.quetzalfield.decision.ConsideredVersion
import io.quetzalfield.model.AttemptId
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.InterruptionReason
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.MayHaveRun
import io.quetzalfield.model.ModelId
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.PlanId
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.model.RequestId
import io.quetzalfield.model.RequestKey
import io.quetzalfield.model.RunnerId
import io.quetzalfield.model.VersionId
import io.quetzalfield.support.status.ExplainedAnswer
import io.quetzalfield.support.status.ExplainedBill
import io.quetzalfield.support.status.ExplainedFailure
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

class ExplanationsTest {
    private val request = RequestId("request-1")
    private val entry = Incarnation(InstanceId("entry-1"), "a")
    private val small = ModelVersionReference(ModelId("small"), VersionId("2"))
    private val large = ModelVersionReference(ModelId("large"), VersionId("1"))
    private val received =
        RequestEvent.Received(ClientAccountId("workshop"), PlanId("bench"), RequestKey("k"), ListsRevision(7), "quick")
    private val decided = RequestEvent.Decided(
        stages = listOf(small),
        considered = listOf(
            ConsideredVersion(small, 0.78, 0.2, null),
            ConsideredVersion(large, 0.93, 2.0, "costs more"),
        ),
        isPinned = false,
    )
    private val refusal = NotRun(RefusalReason.RUNNER_REFUSED, "it is leaving")
    private val first = RequestEvent.AttemptSent(AttemptId("a-1"), RunnerId("runner-1"), small)
    private val second = RequestEvent.AttemptSent(AttemptId("a-2"), RunnerId("runner-2"), small)

    private fun explained(vararg events: RequestEvent) = explain(request, entry, timed(*events))

    private fun timed(vararg events: RequestEvent) = events.mapIndexed { index, event ->
        TimedRequestEvent(Instant.fromEpochMilliseconds(1_000) + (index * 10).milliseconds, event)
    }

    @Nested
    inner class Answered {
        private val events = arrayOf(
            received,
            decided,
            first,
            RequestEvent.AttemptFailed(AttemptId("a-1"), refusal),
            RequestEvent.Retried(RetryReason.RUNNER_REFUSED),
            second,
            RequestEvent.Answered(small, 20),
            RequestEvent.Billed(priceMicros = 4_000, isBilled = true),
        )

        @Test
        fun `the decision shows the revision and the reason against a version`() {
            val explanation = explained(*events)
            assertEquals(ListsRevision(7), explanation.revision)
            assertEquals(listOf(small), explanation.stages)
            assertEquals(listOf(null, "costs more"), explanation.candidates.map { it.passedOverBecause })
        }

        @Test
        fun `each attempt shows its own failure, and the retry its reason`() {
            val explanation = explained(*events)
            val failure = ExplainedFailure("runner_refused", "it is leaving", mayHaveRun = false)
            assertEquals(listOf(failure, null), explanation.attempts.map { it.failure })
            assertEquals(listOf("runner_refused"), explanation.retries)
        }

        @Test
        fun `answer and bill are present and no failure`() {
            val explanation = explained(*events)
            assertEquals(ExplainedAnswer(small, 20), explanation.answer)
            assertEquals(ExplainedBill(4_000, isBilled = true), explanation.bill)
            assertNull(explanation.failure)
        }

        @Test
        fun `step times are relative to the first step`() {
            assertEquals(listOf(0L, 10, 20, 30, 40, 50, 60, 70), explained(*events).steps.map { it.atMilliseconds })
        }
    }

    @Nested
    inner class Outcomes {
        @Test
        fun `a failure says whether the request may have run`() {
            val interrupted = MayHaveRun(InterruptionReason.CONNECTION_LOST, "cut")
            for ((failure, mayHaveRun) in listOf(refusal to false, interrupted to true)) {
                assertEquals(mayHaveRun, explained(received, RequestEvent.Failed(failure)).failure?.mayHaveRun)
            }
        }

        @Test
        fun `the summary distinguishes running requests from ended ones`() {
            val cases = mapOf(
                "running" to timed(received, decided, first),
                "answered" to timed(received, RequestEvent.Answered(small, 1)),
                "repeated" to timed(received, RequestEvent.Repeated(small)),
                "runner_refused" to timed(received, RequestEvent.Failed(refusal)),
            )
            for ((outcome, events) in cases) assertEquals(outcome, summarise(request, events).outcome)
        }
    }
}
