package io.quetzalfield.decision

import kotlin.random.Random
import kotlin.time.Duration

/**
 * Draws retry delays for refused callers, uniformly distributed so that callers that are refused together do not retry
 * together.
 *
 * @property spread ratio of the longest to the shortest delay; 1 or more.
 * @throws IllegalArgumentException if [spread] is less than 1.
 */
public class RetryDelays(private val spread: Double = 3.0, private val random: Random = Random.Default) {
    init {
        require(spread >= 1.0) { "spread is $spread; allowed: 1 or more" }
    }

    /** Returns a random delay between [shortest] and [spread] times [shortest]. */
    public fun after(shortest: Duration): Duration =
        shortest * synchronized(random) { 1.0 + random.nextDouble() * (spread - 1.0) }
}
