package io.quetzalfield.entry

import io.quetzalfield.decision.fingerprintOf
import io.quetzalfield.model.AttemptId
import io.quetzalfield.model.MayHaveRun
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.RequestFailure
import io.quetzalfield.model.RequestFingerprint
import io.quetzalfield.model.RunnerId
import io.quetzalfield.platform.engine.ChatCompletionRequest
import io.quetzalfield.platform.engine.prefixHash
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** One run of a completion: what was sent to the caller, which runners were tried and what may have run. */
internal class CompletionRun(
    val call: CompletionCall,
    val version: ModelVersionReference,
    private val sink: CompletionSink,
    timeSource: TimeSource,
) {
    private val deadline: Duration = call.plan.deadlineMilliseconds.milliseconds
    private val text = StringBuilder()
    private var mayHaveRun: MayHaveRun? = null
    val started: TimeMark = timeSource.markNow()
    val fingerprint: RequestFingerprint = call.body.fingerprint
    val prefixHash: Long = call.body.prefixHash
    val tried = mutableSetOf<RunnerId>()
    var lastAttempt: AttemptId? = null
    var tokensSent = 0
        private set
    var untilFirstToken: Duration? = null
        private set

    /** Time that is left until the plan's deadline. */
    val timeLeft: Duration get() = deadline - started.elapsedNow()

    /** The part of the answer that has arrived. */
    val answer: String get() = text.toString()

    fun onToken(token: String) {
        if (tokensSent == 0) {
            untilFirstToken = started.elapsedNow()
            sink.onStart(version)
        }
        tokensSent++
        text.append(token)
        sink.onToken(token)
    }

    /** Notes how an attempt failed, for [failureAfter]. */
    fun noteFailure(failure: RequestFailure) {
        if (failure is MayHaveRun) mayHaveRun = failure
    }

    /** [failure] as the caller may be told it: once an attempt may have run, none says that the request has not run. */
    fun failureAfter(failure: RequestFailure): RequestFailure {
        val earlier = mayHaveRun
        if (failure !is NotRun || earlier == null) return failure
        return earlier.copy(message = "${earlier.message}; then: ${failure.message}")
    }
}

/** The fingerprint of the conversation, by which a request that crashes runners is recognised. */
internal val ChatCompletionRequest.fingerprint: RequestFingerprint
    get() = fingerprintOf(messages.joinToString(separator = "\u0000") { "${it.role}\u0000${it.content}" })
