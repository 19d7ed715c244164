package io.quetzalfield.decision

import kotlin.random.Random
import kotlin.time.Duration

/**
 * Times after which refused callers are told to come back, spread evenly so that callers refused together do not come
 * back together.
 *
 * @property spread how many times as long as the shortest the longest time is; 1 or more.
 */
public class RetryDelays(private val spread: Double = 3.0, private val random: Random = Random.Default) {
    init {
        require(spread >= 1.0) { "spread is $spread; allowed: 1 or more" }
    }

    /** A time from [shortest] to [spread] times as long. */
    public fun after(shortest: Duration): Duration =
        shortest * synchronized(random) { 1.0 + random.nextDouble() * (spread - 1.0) }
}
