package io.quetzalfield.decision

import io.quetzalfield.model.InstanceId

/** Default number of runners of one model version that an entry follows. */
public const val DEFAULT_SUBSET_SIZE: Int = 64

/**
 * Selects the runners of one pool that [entry] follows: the first [size] in the entry's own rendezvous order. Entries
 * get different subsets, and adding or removing a runner changes few of them.
 */
public fun <T> runnerSubset(
    entry: InstanceId,
    runners: Collection<T>,
    size: Int = DEFAULT_SUBSET_SIZE,
    name: (T) -> String,
): List<T> = if (runners.size <= size) runners.toList() else rendezvousOrder(entry.value, runners, name).take(size)
