package io.quetzalfield.entry

import io.quetzalfield.decision.DEFAULT_SUBSET_SIZE
import io.quetzalfield.decision.PrefixCacheChange
import io.quetzalfield.decision.PrefixCacheTracker
import io.quetzalfield.decision.RunnerView
import io.quetzalfield.decision.runnerSubset
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.RunnerId
import io.quetzalfield.store.engine.EngineCacheEvent
import io.quetzalfield.store.engine.EngineLoad
import okhttp3.OkHttpClient
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

/** The id of a runner is that of its instance. */
public fun InstanceId.toRunnerId(): RunnerId = RunnerId(value)

/**
 * What is known of the runners that this entry follows: their late load reports, corrected by the requests that this
 * entry has sent since, and the prompt prefixes that their late cache events name.
 *
 * @param own this entry, which decides the subset that it follows.
 */
public class RunnerLoadTracker(
    private val own: InstanceId,
    private val fleet: FleetView,
    client: OkHttpClient,
    private val ages: StateAges = StateAges(),
    private val caches: PrefixCacheTracker = PrefixCacheTracker(),
    private val subsetSize: Int = DEFAULT_SUBSET_SIZE,
) {
    private class Load {
        @Volatile
        var report: EngineLoad? = null

        @Volatile
        var versions: Set<ModelVersionReference>? = null
        val inFlight = AtomicInteger()

        @Volatile
        var inFlightAtReport = 0

        @Volatile
        var isReachable = true
        val isPolled = AtomicBoolean()
    }

    private val poller = RunnerPoller(client)
    private val loads = ConcurrentHashMap<RunnerId, Load>()
    private var refreshes = 0

    @Volatile
    private var followed: List<ListedInstance> = emptyList()

    /** The live runners that this entry follows, as the runner choice wants them. */
    public fun views(): List<RunnerView> = followed.filterNot(fleet::isLeaving).mapNotNull(::view)

    /** Whether [runner] says that it can continue an answer at an offset. */
    public fun canResume(runner: RunnerId): Boolean = loads[runner]?.report?.canResume ?: false

    /** The number of the start of [runner] that it last reported. */
    public fun startOf(runner: RunnerId): String? = loads[runner]?.report?.start

    /** Counts a request to [runner] while [action] runs. */
    public fun <T> track(runner: RunnerId, action: () -> T): T {
        val load = loadOf(runner)
        load.inFlight.incrementAndGet()
        try {
            return action()
        } finally {
            load.inFlight.decrementAndGet()
        }
    }

    /** Notes that [runner] cannot be reached; it gets nothing until a report comes from it. */
    public fun markUnreachable(runner: RunnerId) {
        loadOf(runner).isReachable = false
    }

    /** Asks every runner that this entry follows for its load, and now and then for its cache events. */
    public fun refresh() {
        followed = subset(fleet.runners)
        ages.keepReportsOf(followed.map { it.id.toRunnerId() }.toSet())
        refreshes++
        followed.forEach(::refresh)
        if (refreshes % CACHE_EVENT_PERIOD == 0) followed.forEach(::refreshCache)
    }

    /** Runners of each version, at most [subsetSize] each; a runner counts for the versions that it last reported. */
    private fun subset(runners: List<ListedInstance>): List<ListedInstance> {
        if (runners.size <= subsetSize) return runners
        val byVersion = runners.flatMap { runner ->
            versionsOf(runner).map { it to runner }
        }.groupBy({ it.first }, { it.second })
        return byVersion.values.flatMap { pool -> runnerSubset(own, pool, subsetSize) { it.id.value } }.distinct()
    }

    private fun versionsOf(runner: ListedInstance): List<ModelVersionReference> =
        loads[runner.id.toRunnerId()]?.report?.versions ?: runner.versions

    private fun view(runner: ListedInstance): RunnerView? {
        val id = runner.id.toRunnerId()
        val load = loadOf(id)
        if (!load.isReachable) return null
        val report = load.report
        return RunnerView(
            id = id,
            address = runner.address,
            failureDomain = runner.failureDomain,
            versions = load.versions ?: runner.versions.toSet(),
            slots = report?.slots ?: runner.slots,
            reportedRequests = report?.let { it.running + it.waiting } ?: 0,
            sentSinceReport = load.inFlight.get() - load.inFlightAtReport,
            cachedPrefixes = caches.prefixes(id),
        )
    }

    private fun refresh(runner: ListedInstance) {
        val id = runner.id.toRunnerId()
        val load = loadOf(id)
        if (!load.isPolled.compareAndSet(false, true)) return
        poller.fetchLoad(runner.address) { answer ->
            load.isPolled.set(false)
            answer.fold({ refused -> if (refused) load.isReachable = false }, { take(runner, load, it) })
        }
    }

    private fun take(runner: ListedInstance, load: Load, report: EngineLoad) {
        val isRestarted = load.report != null && load.report?.start != report.start
        if (isRestarted) caches.forget(runner.id.toRunnerId())
        load.inFlightAtReport = load.inFlight.get()
        load.versions = report.versions.toSet()
        load.report = report
        load.isReachable = true
        ages.confirm(HeldState.LoadReport(runner.id.toRunnerId()))
        if (report.isLeaving) fleet.markLeaving(runner.id)
    }

    private fun refreshCache(runner: ListedInstance) {
        val id = runner.id.toRunnerId()
        poller.fetchCacheEvents(runner.address, caches.lastSequence(id)) { answer ->
            answer.onRight { events -> caches.note(id, events.map(EngineCacheEvent::toChange)) }
        }
    }

    private fun loadOf(runner: RunnerId): Load = loads.computeIfAbsent(runner) { Load() }

    private companion object {
        const val CACHE_EVENT_PERIOD = 4
    }
}

private fun EngineCacheEvent.toChange() = PrefixCacheChange(sequence, prefixHash, isStored)
