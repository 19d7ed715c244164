package io.quetzalfield.decision

import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.RunnerId
import io.quetzalfield.model.VersionState

/**
 * Rules for the placement of versions on runners.
 *
 * @property copies minimum number of runners that should have each serving version loaded.
 * @property largestCount maximum number of versions up to which a runner is assigned further ones; it keeps versions
 * that are already loaded beyond that.
 */
public data class PlacementRules(val copies: Int = 1, val largestCount: Int = 4)

/**
 * Computes the versions that each runner should have loaded, given the versions that are [loaded] now. A runner keeps
 * its versions except those that are withdrawn or not in the lists. Serving versions that too few runners have are
 * assigned to the runners with the fewest versions. The function is idempotent: applied to its own result, it returns
 * the same.
 */
public fun placeVersions(
    snapshot: ListsSnapshot,
    loaded: Map<RunnerId, Collection<ModelVersionReference>>,
    rules: PlacementRules = PlacementRules(),
): Map<RunnerId, Set<ModelVersionReference>> {
    val states = snapshot.lists.models.models
        .flatMap { model -> model.versions.map { ModelVersionReference(model.id, it.id) to it.state } }
        .toMap()
    val placed = loaded.mapValues { (_, versions) ->
        versions.filter { (states[it] ?: VersionState.WITHDRAWN) != VersionState.WITHDRAWN }.toMutableSet()
    }
    for (version in states.filterValues { it == VersionState.SERVING }.keys.sorted()) {
        val missing = rules.copies - placed.values.count { version in it }
        val candidates = placed.keys
            .filter { version !in placed.getValue(it) && placed.getValue(it).size < rules.largestCount }
        rendezvousOrder(version.toString(), candidates) { it.value }
            .sortedBy { placed.getValue(it).size }
            .take(missing.coerceAtLeast(0))
            .forEach { placed.getValue(it) += version }
    }
    return placed
}
