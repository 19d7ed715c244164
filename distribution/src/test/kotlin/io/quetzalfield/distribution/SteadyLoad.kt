package io.quetzalfield.distribution

import io.quetzalfield.history.CallerOutcome
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Result of one request key: the time of the first attempt, the time until the answer, and the failed attempts. */
internal class KeyResult(
    val key: String,
    val firstSentAt: ComparableTimeMark,
    val answeredAfter: Duration?,
    val failures: List<CallerOutcome>,
)

/** Callers that send requests one after another and retry a failed request with the same key at the next entry. */
internal class SteadyLoad(private val caller: RecordingCaller, private val entries: () -> List<TargetEntry>) :
    AutoCloseable {
    private val nextKey = AtomicInteger()
    private val results = ConcurrentLinkedQueue<KeyResult>()

    @Volatile
    private var isStopped = false
    private val callers = List(CALLERS) { index -> thread { while (!isStopped) sendUntilAnswered(index) } }

    val keys: List<KeyResult> get() = results.toList()

    val answerCount: Int get() = results.count { it.answeredAfter != null }

    private fun sendUntilAnswered(index: Int) {
        val number = nextKey.getAndIncrement()
        val key = "${System.identityHashCode(this)}-$number"
        val started = TimeSource.Monotonic.markNow()
        val failures = mutableListOf<CallerOutcome>()
        val account = Account.entries[number % Account.entries.size]
        while (failures.size < MAX_ATTEMPTS) {
            val targets = entries()
            val outcome = caller.complete(targets[(index + failures.size) % targets.size], key, account)
            if (outcome is CallerOutcome.Answered) {
                results += KeyResult(key, started, started.elapsedNow(), failures)
                return
            }
            failures += outcome
        }
        results += KeyResult(key, started, null, failures)
    }

    /** Waits until [count] more requests have been answered. */
    fun awaitAnswers(count: Int) {
        val expected = answerCount + count
        await("$count more answers") { answerCount >= expected }
    }

    override fun close() {
        isStopped = true
        callers.forEach(Thread::join)
    }

    private companion object {
        const val CALLERS = 4
        const val MAX_ATTEMPTS = 200
    }
}
