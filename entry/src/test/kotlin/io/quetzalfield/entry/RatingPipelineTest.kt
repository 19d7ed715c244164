package io.quetzalfield.entry

import io.quetzalfield.decision.RatedAnswer
import io.quetzalfield.model.AttemptId
import io.quetzalfield.store.AnswerToRate
import io.quetzalfield.store.Rating
import io.quetzalfield.store.fakes.InMemoryRatingService
import kotlin.test.Test
import kotlin.test.assertEquals

class RatingPipelineTest {
    private val service = InMemoryRatingService()
    private val own = mutableListOf<Rating>()
    private val all = mutableListOf<RatedAnswer>()
    private val pipeline = RatingPipeline(service, EntryMetrics(), own::add, all::add, queueCapacity = 3)

    private fun answer(attempt: String) = AnswerToRate(AttemptId(attempt), OLD, kind = attempt, "question", "answer")

    private fun exchange(): List<String> {
        pipeline.submitQueued()
        pipeline.readRatings()
        return own.map { it.attempt.value }
    }

    @Test
    fun `answers stay queued during an outage, up to the capacity of the queue`() {
        service.isDown = true
        repeat(5) { pipeline.offer(answer("attempt-$it")) }
        assertEquals(emptyList(), exchange())
        service.isDown = false
        assertEquals(listOf("attempt-0", "attempt-1", "attempt-2"), exchange())
    }

    @Test
    fun `ratings of other entries' answers are not reported as own`() {
        service.submit(answer("foreign"))
        pipeline.offer(answer("mine"))
        assertEquals(listOf("mine"), exchange())
        assertEquals(listOf("foreign", "mine"), all.map { it.kind })
        assertEquals(listOf("mine"), exchange())
    }
}
