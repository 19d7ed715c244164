package io.quetzalfield.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.model.RequestFailure
import io.quetzalfield.model.RequestFingerprint

/**
 * Runs completions, and replays the earlier answer when a request is repeated with the same caller's key, without
 * running or billing it again. A repetition that arrives while the first request is running is run as well, because
 * usually its caller has lost the first one. The two are billed once, as billing is per key.
 */
internal class KeyedCompletions(
    private val run: (CompletionCall, CompletionSink) -> Either<RequestFailure, CompletionReport>,
    private val metrics: EntryMetrics,
    private val journal: RequestJournal,
    private val answers: AnswerCache = AnswerCache(),
) {
    fun complete(call: CompletionCall, body: String, sink: CompletionSink): Either<RequestFailure, CompletionReport> {
        if (!call.isKeyedByCaller) return run(call, sink)
        val key = AccountKey(call.account.id, call.key)
        val fingerprint = RequestFingerprint(sha256(body))
        return when (val known = answers.begin(key, fingerprint)) {
            is KeyState.Unanswered -> runAndCache(call, key, fingerprint, sink)
            is KeyState.Answered -> repeat(call, known.answer, sink).right()
            is KeyState.UsedForOtherRequest -> refuse(call).left()
        }
    }

    private fun runAndCache(
        call: CompletionCall,
        key: AccountKey,
        fingerprint: RequestFingerprint,
        sink: CompletionSink,
    ): Either<RequestFailure, CompletionReport> {
        val recording = RecordingSink(sink)
        return run(call, recording).onRight { report ->
            answers.put(key, fingerprint, recording.toAnswer(report))
        }
    }

    private fun refuse(call: CompletionCall): RequestFailure {
        val failure = NotRun(RefusalReason.IDEMPOTENCY_KEY_REUSED, REUSED_MESSAGE)
        metrics.countFailure(failure)
        journal.record(call.id, call.toReceivedEvent())
        journal.record(call.id, RequestEvent.Failed(failure))
        return failure
    }

    private fun repeat(call: CompletionCall, answer: CachedAnswer, sink: CompletionSink): CompletionReport {
        journal.record(call.id, call.toReceivedEvent())
        journal.record(call.id, RequestEvent.Repeated(answer.report.version))
        answer.replay(sink)
        return answer.report.copy(isBilled = false)
    }

    private companion object {
        const val REUSED_MESSAGE = "the idempotency key was used for another request; this request has not run"
    }
}
