package io.quetzalfield.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.model.RequestFailure
import io.quetzalfield.model.RequestFingerprint

/**
 * Runs completions and gives a repeated one with the caller's key its former answer, without running or billing it
 * again. While the first still runs, a repetition runs too: as a rule its caller has lost the first. It is billed once
 * all the same, as bills go by the key.
 */
internal class KeyedCompletions(
    private val completions: CompletionService,
    private val answers: KeptAnswers = KeptAnswers(),
) {
    fun complete(call: CompletionCall, body: String, sink: CompletionSink): Either<RequestFailure, CompletionReport> {
        if (!call.isKeyedByCaller) return completions.complete(call, sink)
        val key = AccountKey(call.account.id, call.key)
        val fingerprint = RequestFingerprint(sha256(body))
        return when (val known = answers.begin(key, fingerprint)) {
            is KnownKey.Unanswered -> run(call, key, fingerprint, sink)
            is KnownKey.Answered -> repeat(known.answer, sink).right()
            is KnownKey.UsedForAnother -> NotRun(RefusalReason.IDEMPOTENCY_KEY_REUSED, REUSED_MESSAGE).left()
        }
    }

    private fun run(
        call: CompletionCall,
        key: AccountKey,
        fingerprint: RequestFingerprint,
        sink: CompletionSink,
    ): Either<RequestFailure, CompletionReport> {
        val recording = RecordingSink(sink)
        return completions.complete(call, recording).onRight { report ->
            answers.keep(key, fingerprint, recording.toAnswer(report))
        }
    }

    private fun repeat(answer: KeptAnswer, sink: CompletionSink): CompletionReport {
        answer.replay(sink)
        return answer.report.copy(isBilled = false)
    }

    private companion object {
        const val REUSED_MESSAGE = "the idempotency key was used for another request; this request has not run"
    }
}
