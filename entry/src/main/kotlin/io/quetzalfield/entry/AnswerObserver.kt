package io.quetzalfield.entry

import io.quetzalfield.platform.AnswerToRate
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Notes whole answers for admission and roll-outs, and queues them to be rated. */
internal class AnswerObserver(
    private val answerTimes: AnswerTimes,
    private val observations: ObservationBook,
    private val ratings: RatingPipeline,
) {
    /** Notes the whole answer of [run], which took [elapsed]. */
    fun onAnswer(run: CompletionRun, tokens: Int, elapsed: Duration) {
        val firstToken = run.untilFirstToken ?: elapsed
        val isSlow = firstToken > run.call.plan.firstTokenDeadlineMilliseconds.milliseconds
        answerTimes.note(run.version, tokens, elapsed)
        observations.noteAnswer(run.version, isSlow)
        val attempt = run.lastAttempt ?: return
        ratings.offer(
            AnswerToRate(
                attempt = attempt,
                source = run.version,
                kind = run.call.route.kind,
                question = run.call.body.messages.lastOrNull()?.content.orEmpty(),
                answer = run.answer,
            ),
        )
    }
}
