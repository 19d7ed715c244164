package io.quetzalfield.forwarding.choice

import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.endpoints.PromptPart
import io.quetzalfield.model.ModelId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides whether a first answer is dropped for one of a larger model. Used on the event loop only.
 *
 * Load pattern: the store is unreachable for a while, or all endpoints are busy. A request whose first answer is there
 * is then better served by it than by a second one that may not be sent, or that starts or ends too late.
 *
 * @param isCurrentFor whether the configuration will still be confirmed recently enough after a time.
 */
public class LargerModelChoice(
    private val cascade: ModelCascade,
    private val estimates: AnswerTimeEstimates,
    private val isCurrentFor: (Duration) -> Boolean,
) {
    /**
     * Returns the model to ask instead of passing on [answer] of [asked] to [prompt]; `null` to pass it on.
     *
     * @param candidates endpoints that the request may be sent to.
     */
    public fun next(
        models: List<ModelId>,
        asked: ModelId,
        answer: FirstAnswer,
        prompt: List<PromptPart>,
        candidates: List<Endpoint>,
        now: ComparableTimeMark,
    ): ModelId? {
        val larger = cascade.next(models, asked, answer)?.takeIf { isCurrentFor(SendMargin) } ?: return null
        return larger.takeIf {
            cascade.next(models, asked, expect(Work(larger, prompt), answer, candidates, now)) == it
        }
    }

    /** Replaces the expected times in [answer] by the estimates of the best of [candidates] where there are any. */
    private fun expect(work: Work, answer: FirstAnswer, candidates: List<Endpoint>, now: ComparableTimeMark) =
        candidates.filter(Endpoint::statesTimeFactor).minByOrNull { estimates.expectedStart(work, it, now) }
            ?.let { best ->
                val start = estimates.expectedStart(work, best, now).takeIf { it > Duration.ZERO }
                answer.copy(
                    expectedStart = start ?: answer.expectedStart,
                    expectedEnd = estimates.expectedEnd(work, best, now),
                )
            } ?: answer

    private companion object {
        /** Longer than it takes to get a connection and write the request. */
        val SendMargin = 500.milliseconds
    }
}
