package io.quetzalfield.forwarding.http

import io.netty.util.concurrent.ScheduledFuture
import io.quetzalfield.forwarding.choice.AnswerPace
import io.quetzalfield.forwarding.choice.PaceKey
import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.schedule
import io.quetzalfield.model.ModelId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/**
 * Judges once how fast an attempt is answered, as soon as it can be told, and counts it for the comparison of versions.
 * Runs on the event loop.
 */
internal class SpeedWatch(private val request: AdmittedRequest, private val endpoint: Endpoint, model: ModelId?) {
    private val context = request.context
    private val route = request.route
    private val key = PaceKey(route.name, model)
    private val startedAt = context.timeSource.markNow()

    /** Versions are compared only while both get requests, and endpoints that have just started are slow by nature. */
    private val isCompared =
        context.versions.isComparing(request.service) && endpoint.description.coldFor == Duration.ZERO
    private var firstEventAt: ComparableTimeMark? = null
    private var pauses = 0
    private var isJudged = false
    private var timer: ScheduledFuture<*>? = null

    /** The request has been sent. */
    fun start() {
        if (isCompared && route.isStream) timer = context.eventLoop.schedule(route.objective) { judge(isSlow = true) }
    }

    /** An event has come. */
    fun eventCame() {
        if (isJudged) return
        val first = firstEventAt
        if (first == null) {
            firstEventAt = context.timeSource.markNow()
            awaitPauses()
        } else if (++pauses == AnswerPace.JUDGED_PAUSES) {
            judgePauses(first.elapsedNow())
        }
    }

    /** Once the first event has come, pauses that last too long are known before they end. */
    private fun awaitPauses() {
        timer?.cancel(false)
        val slowPause = context.pace.slowPause(key) ?: return
        if (!isCompared) return
        timer = context.eventLoop.schedule(slowPause * AnswerPace.JUDGED_PAUSES) { judge(isSlow = true) }
    }

    /** The answer is whole. */
    fun answerIsWhole() {
        val first = firstEventAt
        when {
            isJudged -> return
            !route.isStream -> judge(isSlow = startedAt.elapsedNow() > route.objective)
            first == null || pauses == 0 -> judge(isSlow = false)
            else -> judgePauses(first.elapsedNow())
        }
    }

    /** The attempt is given up as its answer does not come. */
    fun answerIsMissing() = judge(isSlow = true)

    /** Nothing more is to be judged. */
    fun close() {
        isJudged = true
        timer?.cancel(false)
    }

    private fun judgePauses(elapsed: Duration) {
        val pause = elapsed / pauses
        val slowPause = context.pace.slowPause(key)
        if (!isOfTarget()) context.pace.note(key, pause)
        judge(isSlow = slowPause != null && pause > slowPause)
    }

    private fun isOfTarget() = context.versions.stepOf(request.service)?.target == endpoint.description.version

    private fun judge(isSlow: Boolean) {
        if (isJudged) return
        close()
        if (!isCompared) return
        context.observer.countSpeed(request.service, endpoint.description.version, isSlow)
        if (isSlow) request.caller.log("slow_answer", "endpoint" to endpoint, "after" to startedAt.elapsedNow())
    }
}
