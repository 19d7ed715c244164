package io.quetzalfield.distribution

import io.quetzalfield.history.CallerOutcome
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/** What became of one request key: when it was first sent, when it was answered, and its failed sends. */
internal class ServedKey(
    val key: String,
    val firstSent: ComparableTimeMark,
    val answeredAfter: Duration?,
    val failures: List<CallerOutcome>,
)

/** Callers that send one request after the other and repeat a failed one, with its key, at the next entry. */
internal class SteadyLoad(private val caller: RecordedCaller, private val entries: () -> List<KnownEntry>) :
    AutoCloseable {
    private val nextKey = AtomicInteger()
    private val served = ConcurrentLinkedQueue<ServedKey>()

    @Volatile
    private var isStopped = false
    private val callers = List(CALLERS) { index -> thread { while (!isStopped) serve(index) } }

    val keys: List<ServedKey> get() = served.toList()

    val answered: Int get() = served.count { it.answeredAfter != null }

    private fun serve(index: Int) {
        val number = nextKey.getAndIncrement()
        val key = "${System.identityHashCode(this)}-$number"
        val started = TimeSource.Monotonic.markNow()
        val failures = mutableListOf<CallerOutcome>()
        val account = Account.entries[number % Account.entries.size]
        while (failures.size < LARGEST_REPEATS) {
            val known = entries()
            val outcome = caller.ask(known[(index + failures.size) % known.size], key, account)
            if (outcome is CallerOutcome.Answered) {
                served += ServedKey(key, started, started.elapsedNow(), failures)
                return
            }
            failures += outcome
        }
        served += ServedKey(key, started, null, failures)
    }

    /** Waits for [count] more answers. */
    fun awaitAnswers(count: Int) {
        val due = answered + count
        await("$count more answers") { answered >= due }
    }

    override fun close() {
        isStopped = true
        callers.forEach(Thread::join)
    }

    private companion object {
        const val CALLERS = 4
        const val LARGEST_REPEATS = 200
    }
}
