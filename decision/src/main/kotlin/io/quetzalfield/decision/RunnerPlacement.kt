package io.quetzalfield.decision

import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.RunnerId
import io.quetzalfield.model.VersionState

/**
 * How versions are placed on runners.
 *
 * @property copies number of runners that should have each serving version at least.
 * @property largestCount number of versions that a runner is given at most; it keeps what it has beyond that.
 */
public data class PlacementRules(val copies: Int = 1, val largestCount: Int = 4)

/**
 * The versions that each runner should have loaded, for runners that have [loaded] now. A runner keeps what it has but
 * for versions that are withdrawn or are not in the lists; serving versions that too few runners have go to the runners
 * with the fewest versions. Applying the result and asking again gives the same result.
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
