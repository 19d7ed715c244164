package io.quetzalfield.decision

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Writes a second that periodic writers may make together; the store takes several hundred from all. */
private const val PERIODIC_WRITES_PER_SECOND = 100

/**
 * The time between two periodic writes of one of [writers] processes: [shortest] in a small fleet, and longer in a
 * large one, so that all of them together stay within the writes that the store has for them.
 */
public fun storeWritePeriod(shortest: Duration, writers: Int): Duration =
    maxOf(shortest, (writers.toDouble() / PERIODIC_WRITES_PER_SECOND).seconds)
