package io.quetzalfield.decision

import kotlin.math.ln
import kotlin.math.max

/**
 * Notices that a pass rate has fallen, by Page's cumulative sum test on the log-likelihood ratio of the fallen rate to
 * the expected one.
 *
 * @param drop how far the rate must fall to be noticed soon, as a share from 0 to 1.
 * @param threshold log-likelihood ratio, in nats, at which a fall is certain enough.
 */
internal class ChangeDetector(private val drop: Double, private val threshold: Double) {
    private var sum = 0.0

    /** Whether the observations so far speak for no fall at all. */
    val isAtZero: Boolean get() = sum == 0.0

    val hasAlarm: Boolean get() = sum >= threshold

    /** Takes one observation that was expected to pass with the probability [expected]. */
    fun observe(passed: Boolean, expected: Double) {
        val before = expected.coerceIn(MINIMUM_RATE + drop, MAXIMUM_RATE)
        val after = before - drop
        val ratio = if (passed) ln(after / before) else ln((1 - after) / (1 - before))
        sum = max(0.0, sum + ratio)
    }

    fun reset() {
        sum = 0.0
    }

    private companion object {
        const val MINIMUM_RATE = 0.02
        const val MAXIMUM_RATE = 0.98
    }
}
