package io.quetzalfield.decision

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Limit on the writes of all periodic writers together; the store handles several hundred writes per second in all. */
private const val PERIODIC_WRITES_PER_SECOND = 100

/**
 * Computes the time between two periodic writes of one of [writers] processes: [shortest] in a small fleet, and longer
 * in a large one, so that all writers together stay within the write rate reserved for them.
 */
public fun storeWritePeriod(shortest: Duration, writers: Int): Duration =
    maxOf(shortest, (writers.toDouble() / PERIODIC_WRITES_PER_SECOND).seconds)
