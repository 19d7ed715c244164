package io.quetzalfield.replay

import io.quetzalfield.decision.RunnerView
import io.quetzalfield.model.RunnerId
import kotlin.time.Duration.Companion.milliseconds

/** The runners of a trace, and what an entry knows of them from late reports and its own sends. */
internal class FleetModel(header: TraceHeader, private val loop: EventLoop) {
    private class Known(
        var reportedRequests: Int = 0,
        var sentSinceReport: Int = 0,
        var prefixes: Set<Long> = emptySet(),
    )

    private val models = header.runners.associate { it.id to RunnerModel(it, header.millisecondsPerToken, loop) }
    private val known = header.runners.associate { it.id to Known() }

    /** The runners that are up; a lost runner is known at once, by its broken connections. */
    fun views(): List<RunnerView> = models.values.filter { it.isUp }.map(::view)

    /** Requests at the runners that are up, as far as is known, divided by their slots. */
    fun pressure(): Double {
        val up = views()
        val requests = up.sumOf { it.reportedRequests + it.sentSinceReport }
        return requests.toDouble() / maxOf(up.sumOf { it.slots }, 1)
    }

    fun runner(id: RunnerId): RunnerModel = models.getValue(id)

    fun send(id: RunnerId, attempt: Attempt) {
        known.getValue(id).sentSinceReport++
        runner(id).offer(attempt)
    }

    fun release(id: RunnerId, attempt: Attempt) {
        known.getValue(id).sentSinceReport--
        runner(id).release(attempt)
    }

    /** Samples a runner now; the sample replaces what is known when the report arrives. */
    fun report(event: TraceRunnerReport) {
        val model = runner(event.runner)
        val requests = model.requestCount
        val prefixes = model.cachedPrefixes
        loop.schedule(loop.now + event.delayMilliseconds.milliseconds) {
            val entry = known.getValue(event.runner)
            entry.reportedRequests = requests
            entry.sentSinceReport = 0
            entry.prefixes = prefixes
        }
    }

    fun fail(id: RunnerId) {
        runner(id).fail()
        known.getValue(id).run {
            reportedRequests = 0
            sentSinceReport = 0
            prefixes = emptySet()
        }
    }

    private fun view(model: RunnerModel): RunnerView {
        val description = model.description
        val entry = known.getValue(description.id)
        return RunnerView(
            id = description.id,
            address = "",
            failureDomain = description.failureDomain,
            versions = description.versions.toSet(),
            slots = description.slots,
            reportedRequests = entry.reportedRequests,
            sentSinceReport = entry.sentSinceReport,
            cachedPrefixes = entry.prefixes,
        )
    }
}
