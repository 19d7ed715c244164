package io.quetzalfield.forwarding.http

import io.netty.util.concurrent.ScheduledFuture
import io.quetzalfield.forwarding.choice.PaceKey
import io.quetzalfield.forwarding.choice.PauseJudge
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
    private val pauses = PauseJudge(context.pace.longPause(key))
    private var lastEventAt: ComparableTimeMark? = null
    private var isJudged = false
    private var timer: ScheduledFuture<*>? = null

    /** The request has been sent. */
    fun start() {
        if (!isCompared || !route.isStream) return
        timer = context.eventLoop.schedule(route.objective) { judge(isSlow = true) }
    }

    /** An event has come. */
    fun eventCame() {
        if (isJudged) return
        val now = context.timeSource.markNow()
        val before = lastEventAt
        if (before == null) awaitPauses() else pauses.note(now - before)
        lastEventAt = now
        if (pauses.isComplete || pauses.isSlow) judgePauses()
    }

    private fun awaitPauses() {
        timer?.cancel(false)
        val patience = pauses.patience
        if (!isCompared || patience == null) return
        timer = context.eventLoop.schedule(patience) { if (pauses.isOverdue) judge(isSlow = true) }
    }

    /** The answer is whole. */
    fun answerIsWhole() {
        if (isJudged) return
        if (!route.isStream) return judge(isSlow = startedAt.elapsedNow() > route.objective)
        pauses.end()
        judgePauses()
    }

    /** The attempt is given up as its answer does not come. */
    fun answerIsMissing() = judge(isSlow = true)

    /** Nothing more is to be judged. */
    fun close() {
        isJudged = true
        timer?.cancel(false)
    }

    private fun judgePauses() {
        if (!isOfTarget()) pauses.middle?.let { context.pace.note(key, it) }
        judge(pauses.isSlow)
    }

    private fun isOfTarget() = context.versions.runningStepOf(request.service)?.target == endpoint.description.version

    private fun judge(isSlow: Boolean) {
        if (isJudged) return
        close()
        if (!isCompared) return
        context.observer.countSpeed(request.service, endpoint.description.version, isSlow)
        if (isSlow) request.caller.log("slow_answer", "endpoint" to endpoint, "after" to startedAt.elapsedNow())
    }
}
