package io.quetzalfield.replay

import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.RequestPriority
import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One attempt of a request on a runner. */
internal class Attempt(
    val version: ModelVersionReference,
    val priority: RequestPriority,
    val prefix: Long,
    val promptTokens: Int,
    val answerTokens: Int,
    val onStart: (AttemptTimes) -> Unit,
    val onLost: () -> Unit,
) {
    /** Whether the attempt has ended, was cancelled or was lost. */
    var isOver: Boolean = false
}

/** The times at which the tokens of a started attempt are generated. */
internal class AttemptTimes(private val firstToken: Duration, private val perToken: Duration) {
    /** The time at which [tokens] tokens have been generated. */
    fun at(tokens: Int): Duration = firstToken + perToken * (tokens - 1)
}

/**
 * A queueing model of one runner. Slots are filled by priority, then in order of arrival. The prefix cache evicts the
 * least recently used prefix. Token rates fall as more slots are busy, and are fixed when an attempt starts.
 */
internal class RunnerModel(
    val description: TraceRunner,
    private val millisecondsPerToken: Map<ModelVersionReference, Double>,
    private val loop: EventLoop,
) {
    private class QueuedAttempt(val attempt: Attempt, val sequence: Long)

    private val running = LinkedHashSet<Attempt>()
    private val waiting = PriorityQueue(compareBy<QueuedAttempt>({ it.attempt.priority }, { it.sequence }))
    private val prefixes = LinkedHashSet<Long>()
    private var nextSequence = 0L

    var isUp: Boolean = true
        private set

    val requestCount: Int get() = running.size + waiting.size

    val cachedPrefixes: Set<Long> get() = prefixes.toSet()

    fun offer(attempt: Attempt) {
        waiting += QueuedAttempt(attempt, nextSequence++)
        startQueuedAttempts()
    }

    /** Frees the slot of [attempt], which has finished or is cancelled. */
    fun release(attempt: Attempt) {
        attempt.isOver = true
        running -= attempt
        startQueuedAttempts()
    }

    /** Takes the runner down; its attempts and its cache are lost. */
    fun fail() {
        isUp = false
        val lost = running + waiting.map { it.attempt }
        running.clear()
        waiting.clear()
        prefixes.clear()
        lost.forEach { it.isOver = true }
        lost.forEach { it.onLost() }
    }

    fun recover() {
        isUp = true
    }

    private fun startQueuedAttempts() {
        while (running.size < description.slots) {
            val next = waiting.poll() ?: return
            running += next.attempt
            next.attempt.onStart(times(next.attempt))
        }
    }

    private fun times(attempt: Attempt): AttemptTimes {
        val slowdown = 1 + BATCH_SLOWDOWN * (running.size - 1) / description.slots
        val perToken = (millisecondsPerToken.getValue(attempt.version) * slowdown).milliseconds
        val promptTokens = attempt.promptTokens * (if (usePrefix(attempt.prefix)) UNCACHED_SHARE else 1.0)
        val promptDuration = (promptTokens / description.promptTokensPerSecond * slowdown).seconds
        return AttemptTimes(firstToken = loop.now + promptDuration + perToken, perToken = perToken)
    }

    /** Marks [prefix] as the most recently used; returns whether it was cached. */
    private fun usePrefix(prefix: Long): Boolean {
        val wasCached = prefixes.remove(prefix)
        prefixes += prefix
        if (prefixes.size > description.prefixCapacity) prefixes -= prefixes.first()
        return wasCached
    }

    private companion object {
        /** Additional time per token with all slots busy, as a share of the time per token with one busy slot. */
        const val BATCH_SLOWDOWN = 0.5

        /** Share of the prompt tokens that are not part of the prefix. */
        const val UNCACHED_SHARE = 0.2
    }
}
