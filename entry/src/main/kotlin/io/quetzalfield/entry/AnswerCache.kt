package io.quetzalfield.entry

import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.RequestFingerprint
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.TimeSource

/** A complete answer as it was sent: its text, the end offset of each token in it, and its report. */
internal class CachedAnswer(val text: String, val tokenEnds: IntArray, val report: CompletionReport) {
    /** Sends the answer to [sink] again, token by token. */
    fun replay(sink: CompletionSink) {
        sink.onStart(report.version)
        var start = 0
        for (end in tokenEnds) {
            sink.onToken(text.substring(start, end))
            start = end
        }
    }
}

/** Passes a completion on to [sink] and records it. */
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

    fun toAnswer(report: CompletionReport): CachedAnswer = CachedAnswer("$text", tokenEnds.toIntArray(), report)
}

/** What is known about a key when a request with it arrives. */
internal sealed interface KeyState {
    /** No complete answer for the key is known: the request has to be run. */
    data object Unanswered : KeyState

    /** The request with this key was answered before. */
    class Answered(val answer: CachedAnswer) : KeyState

    /** The key was used for another request. */
    data object UsedForOtherRequest : KeyState
}

/** A cache of the answers to requests with callers' keys. Each is cached at the home of its key for [retention]. */
internal class AnswerCache(
    retention: Duration = 10.minutes,
    largestSize: Int = 8_192,
    timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private class Entry(val fingerprint: RequestFingerprint, val answer: CachedAnswer?)

    private val entries = ExpiringMap<AccountKey, Entry>(retention, largestSize, timeSource)

    /** Records that a request with [fingerprint] uses [key], and returns what is known about the key. */
    fun begin(key: AccountKey, fingerprint: RequestFingerprint): KeyState = entries.access(key) { slot ->
        val known = slot.value
        when {
            known == null -> {
                slot.value = Entry(fingerprint, answer = null)
                KeyState.Unanswered
            }

            known.fingerprint != fingerprint -> KeyState.UsedForOtherRequest

            else -> known.answer?.let(KeyState::Answered) ?: KeyState.Unanswered
        }
    }

    /** Caches [answer] for [key]. */
    fun put(key: AccountKey, fingerprint: RequestFingerprint, answer: CachedAnswer): Unit =
        entries.access(key) { slot ->
            slot.value = Entry(fingerprint, answer)
        }
}
