package io.quetzalfield.entry

import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.InstanceKind
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.model.ServiceId
import io.quetzalfield.store.InstanceDirectory
import java.util.concurrent.ConcurrentHashMap

/**
 * The instances known to this entry: the platform's delayed list, corrected by direct observations. An instance that is
 * known to be leaving counts as leaving until it is restarted.
 */
public class FleetView(private val directory: InstanceDirectory, private val ages: StateAges = StateAges()) {
    @Volatile
    private var listed: List<ListedInstance> = emptyList()
    private val leaving = ConcurrentHashMap.newKeySet<InstanceRun>()

    private data class InstanceRun(val id: InstanceId, val start: String?)

    private val ListedInstance.run: InstanceRun get() = InstanceRun(id, start)

    /** Live entries, ordered by id. */
    public val entries: List<ListedInstance> get() = live(InstanceKind.ENTRY)

    /** Live runners. */
    public val runners: List<ListedInstance> get() = live(InstanceKind.RUNNER)

    /** Live stewards. */
    public val stewards: List<ListedInstance> get() = live(InstanceKind.STEWARD)

    /** All instances in the latest list, including leaving ones. */
    public val all: List<ListedInstance> get() = listed

    /** Returns the live instances of [service]. */
    public fun serviceInstances(service: ServiceId): List<ListedInstance> =
        live(InstanceKind.SERVICE).filter { it.service == service }

    /** Reads the platform's list; keeps the previous one if the read fails. */
    public fun refresh() {
        directory.instances().onRight { instances ->
            listed = instances
            ages.confirm(CachedState.Instances)
            instances.filter(ListedInstance::isLeaving).forEach { leaving += it.run }
        }
    }

    /** Records that [id] is leaving, as reported by itself or by a peer. */
    public fun markLeaving(id: InstanceId) {
        listed.firstOrNull { it.id == id }?.let { leaving += it.run }
    }

    /** Returns whether [instance] is known to be leaving. */
    public fun isLeaving(instance: ListedInstance): Boolean = instance.run in leaving

    private fun live(kind: InstanceKind): List<ListedInstance> =
        listed.filter { it.kind == kind && it.run !in leaving }.sortedBy { it.id.value }
}
