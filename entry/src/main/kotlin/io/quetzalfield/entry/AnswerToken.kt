package io.quetzalfield.entry

import kotlin.math.exp

/**
 * One token of an answer.
 *
 * @property logProbability natural logarithm of the probability that the engine assigned to the token; `null` if it
 * reports none.
 */
public data class AnswerToken(val text: String, val logProbability: Double? = null)

/**
 * The acceptance score of an answer: the geometric mean of the probabilities of its first [maximumTokens] tokens. How
 * well the score separates good answers from bad ones is learned from ratings, for each version and kind of request.
 */
internal class AcceptanceScore(private val maximumTokens: Int) {
    private var sum = 0.0
    private var tokens = 0
    private var unscored = 0

    /** Whether the score is final. */
    val isComplete: Boolean get() = tokens + unscored >= maximumTokens

    /** The score from 0 to 1; `null` if the engine reports no probabilities. */
    val value: Double? get() = if (tokens == 0) null else exp(sum / tokens)

    fun add(token: AnswerToken) {
        if (isComplete) return
        if (token.logProbability == null) {
            unscored++
        } else {
            sum += token.logProbability
            tokens++
        }
    }
}

/** Aborts an attempt while its answer is being read. The attempt is cancelled at the runner. */
public sealed class AttemptAbortedException(message: String, cause: Throwable? = null) :
    RuntimeException(message, cause)

/** The caller has closed its connection. */
public class CallerDisconnectedException(cause: Throwable) : AttemptAbortedException("the caller disconnected", cause)

/** The answer of a first stage was not accepted; [score] is `null` if the engine reported no probabilities. */
public class AnswerRejectedException(public val score: Double?) :
    AttemptAbortedException("the acceptance score is $score")
