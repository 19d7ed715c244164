package io.quetzalfield.standins

import io.quetzalfield.store.engine.ChatCompletionRequest
import io.quetzalfield.store.engine.ChatMessage
import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

private const val HIGHEST_MICROSECONDS = 120_000_000L
private const val SIGNIFICANT_DIGITS = 3
private const val NANOSECONDS_PER_SECOND = 1_000_000_000L
private const val NANOSECONDS_PER_MICROSECOND = 1_000L

/**
 * The requests of a load run.
 *
 * @property rate requests per second over all paths, sent at fixed times whether or not earlier ones have ended.
 * @property duration length of the run.
 * @property tokens length of each answer, in tokens.
 */
public data class LoadPlan(
    val rate: Int,
    val duration: Duration,
    val tokens: Int,
    val apiKey: String,
    val model: String,
)

/** Latencies of one path in microseconds, measured from the scheduled time of each request. */
public class LoadResult {
    /** Time to the first token. */
    public val firstToken: Histogram = ConcurrentHistogram(HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)

    /** Time to the end of the answer. */
    public val total: Histogram = ConcurrentHistogram(HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)

    /** Number of answers that failed or differed from the expected text. */
    public val failures: AtomicLong = AtomicLong()
}

/** Sends streamed completions at a fixed rate to [callers] in turn, and measures the path of each separately. */
public class LoadRun(private val plan: LoadPlan, private val callers: Map<String, CallerClient>) {
    /** Runs the plan and returns the result of each path by its name. */
    public fun run(): Map<String, LoadResult> {
        val results = callers.mapValues { LoadResult() }
        val executor = Executors.newCachedThreadPool()
        val paths = callers.keys.toList()
        val started = System.nanoTime()
        val count = plan.rate * plan.duration.inWholeSeconds
        for (number in 0 until count) {
            val scheduledAt = started + number * NANOSECONDS_PER_SECOND / plan.rate
            TimeUnit.NANOSECONDS.sleep(scheduledAt - System.nanoTime())
            val path = paths[(number % paths.size).toInt()]
            executor.execute { send(callers.getValue(path), results.getValue(path), number, scheduledAt) }
        }
        executor.shutdown()
        executor.awaitTermination(DRAIN_TIMEOUT.inWholeSeconds, TimeUnit.SECONDS)
        return results
    }

    private fun send(caller: CallerClient, result: LoadResult, number: Long, scheduledAt: Long) {
        val body = ChatCompletionRequest(
            model = plan.model,
            messages = listOf(ChatMessage("user", "How tight is screw $number of this needle")),
            stream = true,
            maximumTokens = plan.tokens,
        )
        val sendDelay = (System.nanoTime() - scheduledAt).nanoseconds
        val answer = caller.complete(plan.apiKey, body)
        val isWhole = answer.error == null && answer.text == answerWords(body).joinToString("")
        if (!isWhole) result.failures.incrementAndGet()
        answer.untilFirstToken?.let { result.firstToken.recordValue(microseconds(sendDelay + it)) }
        result.total.recordValue(microseconds(sendDelay + answer.untilEnd))
    }

    private fun microseconds(duration: Duration): Long =
        (duration.inWholeNanoseconds / NANOSECONDS_PER_MICROSECOND).coerceIn(0, HIGHEST_MICROSECONDS)

    private companion object {
        val DRAIN_TIMEOUT: Duration = 60.seconds
    }
}
