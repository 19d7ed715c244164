package io.quetzalfield.entry

import io.quetzalfield.decision.LearningRouting
import io.quetzalfield.decision.VersionLatency
import io.quetzalfield.store.AnswerToRate
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Records whole answers for admission, routing and roll-outs, and queues them for rating. */
internal class AnswerObserver(
    private val answerTimes: AnswerTimes,
    private val observations: ObservationBook,
    private val ratings: RatingPipeline,
    private val routing: LearningRouting,
) {
    /** Records the whole answer of [run], which took [elapsed]. */
    fun onAnswer(run: CompletionRun, tokens: Int, elapsed: Duration) {
        val firstToken = run.untilFirstToken ?: elapsed
        val isSlow = firstToken > run.call.plan.firstTokenDeadlineMilliseconds.milliseconds
        answerTimes.note(run.version, tokens, elapsed)
        observations.noteAnswer(run.version, isSlow)
        updateEstimates(run, tokens, firstToken, elapsed)
        val attempt = run.lastAttempt ?: return
        ratings.offer(
            AnswerToRate(
                attempt = attempt,
                source = run.version,
                kind = run.call.route.kind,
                question = run.call.body.messages.lastOrNull()?.content.orEmpty(),
                answer = run.answer,
            ),
            AnswerContext(run.score, run.escalation),
        )
    }

    /** Records the acceptance [score] of the answer of the first stage [run], which was not accepted. */
    fun onRejectedScore(run: CompletionRun, score: Double) {
        routing.qualities.recordScore(run.version, run.call.route.kind, score)
    }

    private fun updateEstimates(run: CompletionRun, tokens: Int, firstToken: Duration, elapsed: Duration) {
        val perToken = (elapsed - firstToken) / tokens.coerceAtLeast(1)
        if (run.escalation == null) routing.latencies.record(run.version, VersionLatency(firstToken, perToken))
        val score = run.score
        if (run.escalation == null && score != null) {
            routing.qualities.recordScore(run.version, run.call.route.kind, score)
        }
    }
}
