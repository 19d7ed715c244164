package io.quetzalfield.steward.orders

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.quetzalfield.decision.PlacementRules
import io.quetzalfield.decision.placeVersions
import io.quetzalfield.model.InstanceKind
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.RunnerId
import io.quetzalfield.store.HeldDuty
import io.quetzalfield.store.InstanceDirectory
import io.quetzalfield.store.engine.EngineOrder
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * The duty of keeping the right versions loaded. An order lists all versions that a runner should have loaded. Each run
 * compares the loaded versions with the wanted ones and repeats the order until they agree.
 *
 * Runners may ignore the fencing number. A new holder therefore sends no order for [settlingTime], in which the lease
 * of the previous holder expires and its last orders arrive.
 *
 * @param settlingTime the time to live of the duty's lease plus the longest delay of an order.
 * @param lists returns the lists in force; `null` while they are unknown.
 */
public class OrderDuty(
    private val held: () -> HeldDuty?,
    private val lists: () -> ListsSnapshot?,
    private val directory: InstanceDirectory,
    private val runners: RunnerControl,
    private val settlingTime: Duration,
    private val rules: PlacementRules = PlacementRules(),
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    registry: PrometheusRegistry = PrometheusRegistry(),
) {
    private class Term(val fencingNumber: Long, val ordersFrom: ComparableTimeMark)

    private val orders = Counter.builder()
        .name("quetzalfield_runner_orders_total")
        .help("Orders to runners, by outcome")
        .labelNames("outcome")
        .register(registry)
    private var term: Term? = null

    /** Sends an order to each runner whose loaded versions differ from the wanted ones. */
    public fun run() {
        val duty = held() ?: return
        if (!hasSettled(duty)) return
        val snapshot = lists() ?: return
        val listed = directory.instances().getOrNull().orEmpty()
            .filter { it.kind == InstanceKind.RUNNER && !it.isLeaving }
            .associateBy { RunnerId(it.id.value) }
        val loaded = listed.mapValues { (_, runner) -> loadedVersions(runner) }
        val wanted = placeVersions(snapshot, loaded, rules)
        for ((id, versions) in wanted) {
            if (versions != loaded.getValue(id).toSet()) order(listed.getValue(id), versions, duty.fencingNumber)
        }
    }

    private fun hasSettled(duty: HeldDuty): Boolean {
        val current = term?.takeIf { it.fencingNumber == duty.fencingNumber }
            ?: Term(duty.fencingNumber, timeSource.markNow() + settlingTime).also { term = it }
        return current.ordersFrom.hasPassedNow()
    }

    /** The versions that [runner] reports, or those in the platform's list if it does not respond. */
    private fun loadedVersions(runner: ListedInstance): List<ModelVersionReference> =
        runners.load(runner).fold({ runner.versions }, { it.versions })

    private fun order(runner: ListedInstance, versions: Set<ModelVersionReference>, fencingNumber: Long) {
        if (held()?.fencingNumber != fencingNumber) return
        val result = runners.order(runner, EngineOrder(fencingNumber, versions.sorted()))
        orders.labelValues(if (result.isRight()) "taken" else "failed").inc()
    }
}
