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
 * One stage of a completion: what was sent to the caller, which runners were tried and what may have run.
 *
 * @property started when the request was admitted; the deadline counts from then in every stage.
 * @param gate what the answer must pass before any of it goes to the caller; `null` for a last or only stage.
 * @property escalation the stage before this one, when its answer was not accepted.
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
    private val held = mutableListOf<AnswerToken>()
    private var isHolding = gate != null
    private var acceptance = newScore()
    private var mayHaveRun: MayHaveRun? = null
    val fingerprint: RequestFingerprint = call.body.fingerprint
    val prefixHash: Long = call.body.prefixHash
    val tried = mutableSetOf<RunnerId>()
    var lastAttempt: AttemptId? = null
        private set
    var tokensSent = 0
        private set

    /** How many attempts have failed that may have run. */
    var interruptions = 0
        private set
    var untilFirstToken: Duration? = null
        private set

    /** Time that is left until the plan's deadline. */
    val timeLeft: Duration get() = deadline - started.elapsedNow()

    /** The part of the answer that was sent to the caller. */
    val answer: String get() = text.toString()

    /** The acceptance score of the answer; `null` when the engine reported none. */
    val score: Double? get() = acceptance.value

    /** Notes that [attempt] is sent; what an earlier one brought without being sent on is forgotten. */
    fun onAttempt(attempt: AttemptId) {
        lastAttempt = attempt
        if (tokensSent > 0) return
        held.clear()
        acceptance = newScore()
    }

    /**
     * Takes the next token.
     *
     * @throws AnswerRejectedException if the answer does not pass the gate.
     */
    fun onToken(token: AnswerToken) {
        acceptance.add(token)
        if (!isHolding) return send(token)
        held += token
        if (acceptance.isComplete) decide()
    }

    /** Takes the end of the answer; one that is shorter than the gate asks for is decided on now. */
    fun onEnd() {
        if (isHolding) decide()
    }

    private fun decide() {
        val score = acceptance.value
        if (score == null || gate?.accepts(score) == false) throw AnswerRejectedException(score)
        isHolding = false
        held.forEach(::send)
        held.clear()
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

    /** Notes how an attempt failed, for [failureAfter]. */
    fun noteFailure(failure: RequestFailure) {
        if (failure !is MayHaveRun) return
        mayHaveRun = failure
        interruptions++
    }

    /** [failure] as the caller may be told it: once an attempt may have run, none says that the request has not run. */
    fun failureAfter(failure: RequestFailure): RequestFailure {
        val earlier = mayHaveRun
        if (failure !is NotRun || earlier == null) return failure
        return earlier.copy(message = "${earlier.message}; then: ${failure.message}")
    }

    private fun newScore() = AcceptanceScore(gate?.tokens ?: CascadeSettings.DEFAULT_GATE_TOKENS)
}

/** The fingerprint of the conversation, by which a request that crashes runners is recognised. */
internal val ChatCompletionRequest.fingerprint: RequestFingerprint
    get() = fingerprintOf(messages.joinToString(separator = "\u0000") { "${it.role}\u0000${it.content}" })
