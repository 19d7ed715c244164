package io.quetzalfield.entry

import io.quetzalfield.decision.RunnerView
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.model.RunnerId
import io.quetzalfield.platform.PlatformJson
import io.quetzalfield.platform.engine.EngineLoad
import kotlinx.serialization.SerializationException
import okhttp3.OkHttpClient
import okhttp3.Request
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** The id of a runner is that of its instance. */
public fun InstanceId.toRunnerId(): RunnerId = RunnerId(value)

/** Load reports of runners, corrected by the requests that this entry has sent since. */
public class RunnerLoadTracker(
    private val fleet: FleetView,
    client: OkHttpClient,
    private val ages: StateAges = StateAges(),
) {
    private class Load {
        @Volatile
        var report: EngineLoad? = null
        val inFlight = AtomicInteger()

        @Volatile
        var inFlightAtReport = 0
    }

    private val client = client.newBuilder().callTimeout(REPORT_TIMEOUT_SECONDS, TimeUnit.SECONDS).build()
    private val loads = ConcurrentHashMap<RunnerId, Load>()

    /** The live runners as the runner choice wants them. */
    public fun views(): List<RunnerView> = fleet.runners.map { runner ->
        val load = loads[runner.id.toRunnerId()]
        RunnerView(
            id = runner.id.toRunnerId(),
            address = runner.address,
            failureDomain = runner.failureDomain,
            versions = (load?.report?.versions ?: runner.versions).toSet(),
            slots = runner.slots,
            reportedRequests = load?.report?.let { it.running + it.waiting } ?: 0,
            sentSinceReport = load?.let { it.inFlight.get() - it.inFlightAtReport } ?: 0,
        )
    }

    /** Counts a request to [runner] while [action] runs. */
    public fun <T> track(runner: RunnerId, action: () -> T): T {
        val load = loads.computeIfAbsent(runner) { Load() }
        load.inFlight.incrementAndGet()
        try {
            return action()
        } finally {
            load.inFlight.decrementAndGet()
        }
    }

    /** Asks every live runner for its load. */
    public fun refresh() {
        ages.keepReportsOf(fleet.runners.map { it.id.toRunnerId() }.toSet())
        fleet.runners.forEach(::refresh)
    }

    private fun refresh(runner: ListedInstance) {
        val report = fetch(runner) ?: return
        val load = loads.computeIfAbsent(runner.id.toRunnerId()) { Load() }
        load.inFlightAtReport = load.inFlight.get()
        load.report = report
        ages.confirm(HeldState.LoadReport(runner.id.toRunnerId()))
        if (report.isLeaving) fleet.markLeaving(runner.id)
    }

    private fun fetch(runner: ListedInstance): EngineLoad? = try {
        client.newCall(Request.Builder().url("${runner.address}/v1/load").build()).execute().use { response ->
            val text = response.body.string()
            if (response.isSuccessful) PlatformJson.decodeFromString(EngineLoad.serializer(), text) else null
        }
    } catch (_: IOException) {
        null
    } catch (_: SerializationException) {
        null
    }

    private companion object {
        const val REPORT_TIMEOUT_SECONDS = 1L
    }
}
