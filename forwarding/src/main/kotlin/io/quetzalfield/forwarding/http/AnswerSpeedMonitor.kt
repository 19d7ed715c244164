package io.quetzalfield.forwarding.http

import io.netty.util.concurrent.ScheduledFuture
import io.quetzalfield.forwarding.choice.PaceKey
import io.quetzalfield.forwarding.choice.PauseClassifier
import io.quetzalfield.forwarding.choice.Placement
import io.quetzalfield.forwarding.schedule
import io.quetzalfield.model.ModelId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/**
 * Classifies the answer to one attempt as slow or not, once and as early as possible, and counts the result for the
 * comparison of versions. Used on the event loop only.
 */
internal class AnswerSpeedMonitor(
    private val request: AdmittedRequest,
    private val placement: Placement,
    model: ModelId?,
) {
    private val context = request.context
    private val endpoint = placement.endpoint
    private val route = request.route
    private val key = PaceKey(route.name, model)
    private val startedAt = context.timeSource.markNow()

    /** Versions are compared only while both get requests, and without endpoints that are still slow after a start. */
    private val isCompared =
        context.versions.isComparing(request.service) && endpoint.description.coldFor == Duration.ZERO
    private val pauses = PauseClassifier(context.pace.longPause(key))
    private var lastEventAt: ComparableTimeMark? = null
    private var answerStartedAt: ComparableTimeMark? = null
    private var isClosed = false
    private var timer: ScheduledFuture<*>? = null

    /** Called when the request has been sent. */
    fun start() {
        if (!isCompared || !route.isStream) return
        timer = context.eventLoop.schedule(route.objective) { count(isSlow = true) }
    }

    /** Called for each stream event received. */
    fun onEvent() {
        if (answerStartedAt == null) recordStart()
        if (isClosed) return
        val now = context.timeSource.markNow()
        val before = lastEventAt
        if (before == null) startPauseTimer() else pauses.record(now - before)
        lastEventAt = now
        if (pauses.isComplete || pauses.isSlow) classifyByPauses()
    }

    private fun recordStart() {
        val now = context.timeSource.markNow()
        answerStartedAt = now
        val expected = placement.expected ?: return
        context.metrics.observeStart(expected.start, now - startedAt)
        context.answerTimes.record(expected, now - startedAt, now)
    }

    private fun recordEnd() {
        val begun = answerStartedAt ?: return recordStart()
        placement.expected?.let { context.answerTimes.recordEnd(it, begun.elapsedNow(), context.timeSource.markNow()) }
    }

    private fun startPauseTimer() {
        timer?.cancel(false)
        val limit = pauses.overdueAfter
        if (!isCompared || limit == null) return
        timer = context.eventLoop.schedule(limit) { if (pauses.isOverdue) count(isSlow = true) }
    }

    /** Called when the answer is complete. */
    fun onAnswerComplete() {
        recordEnd()
        if (isClosed) return
        if (!route.isStream) return count(isSlow = startedAt.elapsedNow() > route.objective)
        pauses.end()
        classifyByPauses()
    }

    /** Called when the attempt is abandoned because no answer was received in time. */
    fun onAnswerMissing() = count(isSlow = true)

    /** Ends the monitoring; later calls have no effect. */
    fun close() {
        isClosed = true
        timer?.cancel(false)
    }

    private fun classifyByPauses() {
        if (!isRolloutTarget()) pauses.median?.let { context.pace.record(key, it) }
        count(pauses.isSlow)
    }

    private fun isRolloutTarget() =
        context.versions.runningStepOf(request.service)?.target == endpoint.description.version

    private fun count(isSlow: Boolean) {
        if (isClosed) return
        close()
        if (!isCompared) return
        context.observer.countSpeed(request.service, endpoint.description.version, isSlow)
        if (isSlow) request.caller.log("slow_answer", "endpoint" to endpoint, "after" to startedAt.elapsedNow())
    }
}
