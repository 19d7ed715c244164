package io.quetzalfield.entry

import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.InstanceKind
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.model.ServiceId
import io.quetzalfield.store.InstanceDirectory
import java.util.concurrent.ConcurrentHashMap

/**
 * What this entry knows of the other instances: the platform's lagging list, corrected by what was learnt at first
 * hand. An instance that is known to be leaving stays so until it is restarted.
 */
public class FleetView(private val directory: InstanceDirectory, private val ages: StateAges = StateAges()) {
    @Volatile
    private var listed: List<ListedInstance> = emptyList()
    private val leaving = ConcurrentHashMap.newKeySet<InstanceRun>()

    private data class InstanceRun(val id: InstanceId, val start: String?)

    private val ListedInstance.run: InstanceRun get() = InstanceRun(id, start)

    /** Live entries, in the order of their ids. */
    public val entries: List<ListedInstance> get() = live(InstanceKind.ENTRY)

    /** Live runners. */
    public val runners: List<ListedInstance> get() = live(InstanceKind.RUNNER)

    /** Live stewards. */
    public val stewards: List<ListedInstance> get() = live(InstanceKind.STEWARD)

    /** All instances that the last list named, leaving ones too. */
    public val all: List<ListedInstance> get() = listed

    /** Live instances of [service]. */
    public fun serviceInstances(service: ServiceId): List<ListedInstance> =
        live(InstanceKind.SERVICE).filter { it.service == service }

    /** Reads the platform's list; keeps the former one when it cannot be had. */
    public fun refresh() {
        directory.instances().onRight { instances ->
            listed = instances
            ages.confirm(HeldState.Instances)
            instances.filter(ListedInstance::isLeaving).forEach { leaving += it.run }
        }
    }

    /** Notes that [id] said itself, or a peer said of it, that it is leaving. */
    public fun markLeaving(id: InstanceId) {
        listed.firstOrNull { it.id == id }?.let { leaving += it.run }
    }

    /** Whether [instance] is known to be leaving. */
    public fun isLeaving(instance: ListedInstance): Boolean = instance.run in leaving

    private fun live(kind: InstanceKind): List<ListedInstance> =
        listed.filter { it.kind == kind && it.run !in leaving }.sortedBy { it.id.value }
}
