package io.quetzalfield.entry

import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.RequestFingerprint
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.TimeSource

/** A whole answer as it was given: its text, where each token of it ends, and its report. */
internal class KeptAnswer(val text: String, val tokenEnds: IntArray, val report: CompletionReport) {
    /** Gives the answer again, token by token. */
    fun replay(sink: CompletionSink) {
        sink.onStart(report.version)
        var start = 0
        for (end in tokenEnds) {
            sink.onToken(text.substring(start, end))
            start = end
        }
    }
}

/** Passes a completion on to [sink] and keeps it. */
internal class RecordingSink(private val sink: CompletionSink) : CompletionSink {
    private val text = StringBuilder()
    private val tokenEnds = mutableListOf<Int>()

    override fun onStart(version: ModelVersionReference) {
        sink.onStart(version)
    }

    override fun onToken(text: String) {
        this.text.append(text)
        tokenEnds += this.text.length
        sink.onToken(text)
    }

    fun toAnswer(report: CompletionReport): KeptAnswer = KeptAnswer("$text", tokenEnds.toIntArray(), report)
}

/** What is known of a key when a request with it arrives. */
internal sealed interface KnownKey {
    /** No whole answer to the key is known: the request is to be run. */
    data object Unanswered : KnownKey

    /** The key has its answer. */
    class Answered(val answer: KeptAnswer) : KnownKey

    /** The key was used for another request. */
    data object UsedForAnother : KnownKey
}

/** The answers to requests with callers' keys, kept at the home of each key for a while. */
internal class KeptAnswers(
    retention: Duration = 10.minutes,
    largestSize: Int = 8_192,
    timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private class Entry(val fingerprint: RequestFingerprint, val answer: KeptAnswer?)

    private val entries = ExpiringMap<AccountKey, Entry>(retention, largestSize, timeSource)

    /** Notes that a request with [fingerprint] uses [key], and says what is known of the key. */
    fun begin(key: AccountKey, fingerprint: RequestFingerprint): KnownKey = entries.access(key) { slot ->
        val known = slot.value
        when {
            known == null -> {
                slot.value = Entry(fingerprint, answer = null)
                KnownKey.Unanswered
            }

            known.fingerprint != fingerprint -> KnownKey.UsedForAnother

            else -> known.answer?.let(KnownKey::Answered) ?: KnownKey.Unanswered
        }
    }

    /** Keeps [answer] for [key]. */
    fun keep(key: AccountKey, fingerprint: RequestFingerprint, answer: KeptAnswer): Unit = entries.access(key) { slot ->
        slot.value = Entry(fingerprint, answer)
    }
}
