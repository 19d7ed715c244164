package io.quetzalfield.forwarding.choice

import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.endpoints.EndpointLoad
import io.quetzalfield.forwarding.endpoints.PromptPart
import io.quetzalfield.forwarding.endpoints.description
import io.quetzalfield.model.ModelId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class LargerModelChoiceTest {
    private val timeSource = TestTimeSource()
    private val models = listOf(ModelId("small"), ModelId("large"))
    private val prompt = listOf(PromptPart("own", 1_000))
    private val endpoint = Endpoint(description("one"))
    private val estimates = AnswerTimeEstimates()
    private val answer = FirstAnswer(
        confidence = 5,
        occupancy = 0.1,
        remaining = 1.seconds,
        expectedStart = 100.milliseconds,
        timeLeft = 3.seconds,
    )

    private fun next(confirmedFor: Duration = 3.seconds): ModelId? =
        LargerModelChoice(ConfidenceCascade(), estimates) { it <= confirmedFor }
            .next(models, models.first(), answer, prompt, listOf(endpoint), timeSource.markNow())

    /** The larger model starts [start] and ends [length] later, as some answers show. */
    private fun learn(start: Duration, length: Duration) {
        val now = timeSource.markNow()
        endpoint.load = EndpointLoad(running = 0, waiting = 0, slots = 4, timeFactor = 1.0)
        endpoint.loadReportedAt = now
        val expectation = estimates.expect(Work(models.last(), prompt), endpoint, tokensToRead = 1_000, now)
        repeat(20) {
            estimates.record(expectation, start, now)
            estimates.recordEnd(expectation, length, now)
        }
    }

    @Test
    fun `an uncertain answer is replaced where nothing speaks against it`() = assertEquals(models.last(), next())

    /** Seen in a log: the second send was not allowed, and the request ended without any answer. */
    @Test
    fun `an answer is passed on when the configuration is about to be no longer confirmed`() =
        assertNull(next(confirmedFor = 400.milliseconds))

    @Test
    fun `an answer is replaced by one that is expected in time`() {
        learn(start = 500.milliseconds, length = 2.seconds)
        assertEquals(models.last(), next())
    }

    @Test
    fun `an answer is passed on when the larger model is expected to start too late`() {
        learn(start = 1_500.milliseconds, length = 1.seconds)
        assertNull(next())
    }

    @Test
    fun `an answer is passed on when the larger model is expected to end too late`() {
        learn(start = 500.milliseconds, length = 4.seconds)
        assertNull(next())
    }
}
