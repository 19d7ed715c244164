package io.quetzalfield.entry

import io.quetzalfield.decision.AcceptanceGate
import io.quetzalfield.decision.CascadeSettings
import io.quetzalfield.decision.Escalation
import io.quetzalfield.decision.fingerprintOf
import io.quetzalfield.model.AttemptId
import io.quetzalfield.model.MayHaveRun
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.RequestFailure
import io.quetzalfield.model.RequestFingerprint
import io.quetzalfield.model.RunnerId
import io.quetzalfield.store.engine.ChatCompletionRequest
import io.quetzalfield.store.engine.prefixHash
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark

/**
 * The state of one stage of a completion: the tokens sent to the caller, the runners tried and the attempts that may
 * have run.
 *
 * @property started when the request was admitted; the deadline of every stage counts from then.
 * @param gate the check that the answer must pass before any of it is sent to the caller; `null` for a last or only
 * stage.
 * @property escalation the previous stage, if its answer was not accepted.
 */
internal class CompletionRun(
    val call: CompletionCall,
    val version: ModelVersionReference,
    private val sink: CompletionSink,
    val started: TimeMark,
    private val gate: AcceptanceGate? = null,
    val escalation: Escalation? = null,
) {
    private val deadline: Duration = call.plan.deadlineMilliseconds.milliseconds
    private val text = StringBuilder()
    private val buffered = mutableListOf<AnswerToken>()
    private var isBuffering = gate != null
    private var acceptance = newScore()
    private var mayHaveRun: MayHaveRun? = null
    val fingerprint: RequestFingerprint = call.body.fingerprint
    val prefixHash: Long = call.body.prefixHash
    val tried = mutableSetOf<RunnerId>()
    var lastAttempt: AttemptId? = null
        private set
    var tokensSent = 0
        private set

    /** The number of failed attempts that may have run. */
    var interruptions = 0
        private set
    var untilFirstToken: Duration? = null
        private set

    /** The time left until the plan's deadline. */
    val timeLeft: Duration get() = deadline - started.elapsedNow()

    /** The part of the answer that has been sent to the caller. */
    val answer: String get() = text.toString()

    /** The acceptance score of the answer; `null` if the engine reported no probabilities. */
    val score: Double? get() = acceptance.value

    /** Records that [attempt] is sent. Discards the tokens of an earlier attempt that were not sent to the caller. */
    fun onAttempt(attempt: AttemptId) {
        lastAttempt = attempt
        if (tokensSent > 0) return
        buffered.clear()
        acceptance = newScore()
    }

    /**
     * Adds the next token of the answer: buffers it until the gate has decided, and sends it to the caller afterwards.
     *
     * @throws AnswerRejectedException if the answer does not pass the gate.
     */
    fun onToken(token: AnswerToken) {
        acceptance.add(token)
        if (!isBuffering) return send(token)
        buffered += token
        if (acceptance.isComplete) applyGate()
    }

    /** Ends the answer. An answer shorter than the number of tokens that the gate examines is checked now. */
    fun onEnd() {
        if (isBuffering) applyGate()
    }

    private fun applyGate() {
        val score = acceptance.value
        if (score == null || gate?.accepts(score) == false) throw AnswerRejectedException(score)
        isBuffering = false
        buffered.forEach(::send)
        buffered.clear()
    }

    private fun send(token: AnswerToken) {
        if (tokensSent == 0) {
            untilFirstToken = started.elapsedNow()
            sink.onStart(version)
        }
        tokensSent++
        text.append(token.text)
        sink.onToken(token.text)
    }

    /** Records how an attempt failed, for [failureAfter]. */
    fun noteFailure(failure: RequestFailure) {
        if (failure !is MayHaveRun) return
        mayHaveRun = failure
        interruptions++
    }

    /**
     * Returns [failure] in the form in which it may be reported to the caller: once an attempt may have run, no failure
     * states that the request has not run.
     */
    fun failureAfter(failure: RequestFailure): RequestFailure {
        val earlier = mayHaveRun
        if (failure !is NotRun || earlier == null) return failure
        return earlier.copy(message = "${earlier.message}; then: ${failure.message}")
    }

    private fun newScore() = AcceptanceScore(gate?.tokens ?: CascadeSettings.DEFAULT_GATE_TOKENS)
}

/** The fingerprint of the conversation; identifies requests that crash runners. */
internal val ChatCompletionRequest.fingerprint: RequestFingerprint
    get() = fingerprintOf(messages.joinToString(separator = "\u0000") { "${it.role}\u0000${it.content}" })
