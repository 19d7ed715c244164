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

/** Returns the runner id of an instance; both ids have the same value. */
public fun InstanceId.toRunnerId(): RunnerId = RunnerId(value)

/**
 * Tracks the runners that this entry follows: their delayed load reports, corrected by the requests that this entry has
 * sent since, and the cached prompt prefixes according to their delayed cache events.
 *
 * @param ownInstance this entry; determines the subset of runners that it follows.
 */
public class RunnerLoadTracker(
    private val ownInstance: InstanceId,
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

    /** Returns the live runners that this entry follows, as input to the choice of a runner. */
    public fun views(): List<RunnerView> = followed.filterNot(fleet::isLeaving).mapNotNull(::view)

    /** Returns whether [runner] reported that it can resume an answer at an offset. */
    public fun canResume(runner: RunnerId): Boolean = loads[runner]?.report?.canResume ?: false

    /** Returns the identifier of the current process start of [runner], as last reported. */
    public fun startOf(runner: RunnerId): String? = loads[runner]?.report?.start

    /** Runs [action] and counts it as a request in flight to [runner] meanwhile. */
    public fun <T> track(runner: RunnerId, action: () -> T): T {
        val load = loadOf(runner)
        load.inFlight.incrementAndGet()
        try {
            return action()
        } finally {
            load.inFlight.decrementAndGet()
        }
    }

    /** Records that [runner] cannot be reached; it gets no requests until its load can be read again. */
    public fun markUnreachable(runner: RunnerId) {
        loadOf(runner).isReachable = false
    }

    /** Polls the load of all followed runners and, on every [CACHE_EVENT_PERIOD]th call, their cache events. */
    public fun refresh() {
        followed = subset(fleet.runners)
        ages.retainReportsOf(followed.map { it.id.toRunnerId() }.toSet())
        refreshes++
        followed.forEach(::refresh)
        if (refreshes % CACHE_EVENT_PERIOD == 0) followed.forEach(::refreshCache)
    }

    /** Returns at most [subsetSize] runners of each version, according to the versions that they last reported. */
    private fun subset(runners: List<ListedInstance>): List<ListedInstance> {
        if (runners.size <= subsetSize) return runners
        val byVersion = runners.flatMap { runner ->
            versionsOf(runner).map { it to runner }
        }.groupBy({ it.first }, { it.second })
        return byVersion.values.flatMap { pool ->
            runnerSubset(ownInstance, pool, subsetSize) { it.id.value }
        }.distinct()
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
            answer.fold({ refused -> if (refused) load.isReachable = false }, { applyReport(runner, load, it) })
        }
    }

    private fun applyReport(runner: ListedInstance, load: Load, report: EngineLoad) {
        val isRestarted = load.report != null && load.report?.start != report.start
        if (isRestarted) caches.remove(runner.id.toRunnerId())
        load.inFlightAtReport = load.inFlight.get()
        load.versions = report.versions.toSet()
        load.report = report
        load.isReachable = true
        ages.confirm(CachedState.LoadReport(runner.id.toRunnerId()))
        if (report.isLeaving) fleet.markLeaving(runner.id)
    }

    private fun refreshCache(runner: ListedInstance) {
        val id = runner.id.toRunnerId()
        poller.fetchCacheEvents(runner.address, caches.lastSequence(id)) { answer ->
            answer.onRight { events -> caches.record(id, events.map(EngineCacheEvent::toChange)) }
        }
    }

    private fun loadOf(runner: RunnerId): Load = loads.computeIfAbsent(runner) { Load() }

    private companion object {
        const val CACHE_EVENT_PERIOD = 4
    }
}

private fun EngineCacheEvent.toChange() = PrefixCacheChange(sequence, prefixHash, isStored)
