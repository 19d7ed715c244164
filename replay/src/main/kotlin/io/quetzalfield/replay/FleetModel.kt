package io.quetzalfield.replay

import io.quetzalfield.decision.RunnerView
import io.quetzalfield.model.RunnerId
import kotlin.time.Duration.Companion.milliseconds

/** The runners of a trace, and the state in which an entry sees them by delayed reports and its own sends. */
internal class FleetModel(header: TraceHeader, private val loop: EventLoop) {
    private class ObservedState(
        var reportedRequests: Int = 0,
        var sentSinceReport: Int = 0,
        var prefixes: Set<Long> = emptySet(),
    )

    private val models = header.runners.associate { it.id to RunnerModel(it, header.millisecondsPerToken, loop) }
    private val observed = header.runners.associate { it.id to ObservedState() }

    /** The runners that are up, as the entry sees them. A lost runner is noticed at once by its broken connections. */
    fun views(): List<RunnerView> = models.values.filter { it.isUp }.map(::view)

    /** Observed number of requests at the runners that are up, divided by their slots. */
    fun pressure(): Double {
        val up = views()
        val requests = up.sumOf { it.reportedRequests + it.sentSinceReport }
        return requests.toDouble() / maxOf(up.sumOf { it.slots }, 1)
    }

    fun runner(id: RunnerId): RunnerModel = models.getValue(id)

    fun send(id: RunnerId, attempt: Attempt) {
        observed.getValue(id).sentSinceReport++
        runner(id).offer(attempt)
    }

    fun release(id: RunnerId, attempt: Attempt) {
        observed.getValue(id).sentSinceReport--
        runner(id).release(attempt)
    }

    /** Samples the load of a runner now; the sample replaces the observed state when the report arrives. */
    fun report(event: TraceRunnerReport) {
        val model = runner(event.runner)
        val requests = model.requestCount
        val prefixes = model.cachedPrefixes
        loop.schedule(loop.now + event.delayMilliseconds.milliseconds) {
            val state = observed.getValue(event.runner)
            state.reportedRequests = requests
            state.sentSinceReport = 0
            state.prefixes = prefixes
        }
    }

    fun fail(id: RunnerId) {
        runner(id).fail()
        observed.getValue(id).run {
            reportedRequests = 0
            sentSinceReport = 0
            prefixes = emptySet()
        }
    }

    private fun view(model: RunnerModel): RunnerView {
        val description = model.description
        val state = observed.getValue(description.id)
        return RunnerView(
            id = description.id,
            address = "",
            failureDomain = description.failureDomain,
            versions = description.versions.toSet(),
            slots = description.slots,
            reportedRequests = state.reportedRequests,
            sentSinceReport = state.sentSinceReport,
            cachedPrefixes = state.prefixes,
        )
    }
}
