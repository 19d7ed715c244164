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

/** When the tokens of a started attempt come. */
internal class AttemptTimes(private val firstToken: Duration, private val perToken: Duration) {
    /** The time at which [tokens] tokens have come. */
    fun at(tokens: Int): Duration = firstToken + perToken * (tokens - 1)
}

/**
 * A queue model of one runner: slots that are filled by priority, then in order of arrival; a prefix cache that drops
 * the prefix that was used least recently; and rates that fall as more slots are busy, fixed when an attempt starts.
 */
internal class RunnerModel(
    val description: TraceRunner,
    private val millisecondsPerToken: Map<ModelVersionReference, Double>,
    private val loop: EventLoop,
) {
    private class Waiting(val attempt: Attempt, val sequence: Long)

    private val running = LinkedHashSet<Attempt>()
    private val waiting = PriorityQueue(compareBy<Waiting>({ it.attempt.priority }, { it.sequence }))
    private val prefixes = LinkedHashSet<Long>()
    private var nextSequence = 0L

    var isUp: Boolean = true
        private set

    val requestCount: Int get() = running.size + waiting.size

    val cachedPrefixes: Set<Long> get() = prefixes.toSet()

    fun offer(attempt: Attempt) {
        waiting += Waiting(attempt, nextSequence++)
        startWaiting()
    }

    /** Frees the slot of [attempt], which has ended or is cancelled. */
    fun release(attempt: Attempt) {
        attempt.isOver = true
        running -= attempt
        startWaiting()
    }

    /** Loses all attempts and the cache. */
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

    private fun startWaiting() {
        while (running.size < description.slots) {
            val next = waiting.poll() ?: return
            running += next.attempt
            next.attempt.onStart(times(next.attempt))
        }
    }

    private fun times(attempt: Attempt): AttemptTimes {
        val slowdown = 1 + BATCH_SLOWDOWN * (running.size - 1) / description.slots
        val perToken = (millisecondsPerToken.getValue(attempt.version) * slowdown).milliseconds
        val promptTokens = attempt.promptTokens * (if (takePrefix(attempt.prefix)) UNCACHED_SHARE else 1.0)
        val reading = (promptTokens / description.promptTokensPerSecond * slowdown).seconds
        return AttemptTimes(firstToken = loop.now + reading + perToken, perToken = perToken)
    }

    /** Notes the use of [prefix]; whether the cache held it. */
    private fun takePrefix(prefix: Long): Boolean {
        val wasHeld = prefixes.remove(prefix)
        prefixes += prefix
        if (prefixes.size > description.prefixCapacity) prefixes -= prefixes.first()
        return wasHeld
    }

    private companion object {
        /** How much longer a token takes with all slots busy, as a share of the time with one. */
        const val BATCH_SLOWDOWN = 0.5

        /** Share of the prompt that is not part of its prefix. */
        const val UNCACHED_SHARE = 0.2
    }
}
