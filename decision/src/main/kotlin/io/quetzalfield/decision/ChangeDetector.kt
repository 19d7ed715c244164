package io.quetzalfield.decision

import kotlin.math.ln
import kotlin.math.max

/** Direction of a change of a pass rate. */
internal enum class RateChange { FALL, RISE }

/**
 * Detects that a pass rate has fallen by [drop] below the expected one, or has risen back to it, by Page's cumulative
 * sum test on the log-likelihood ratio of the two rates.
 *
 * @param drop difference of the two rates, as a share from 0 to 1.
 * @param threshold log-likelihood ratio, in nats, at which a change is reported.
 */
internal class ChangeDetector(
    private val change: RateChange,
    private val drop: Double,
    private val threshold: Double,
) {
    private var sum = 0.0

    /** Whether the observations since the last reset give no evidence of a change. */
    val isAtZero: Boolean get() = sum == 0.0

    val hasAlarm: Boolean get() = sum >= threshold

    /** Adds one observation, which passes with probability [expected] if the rate has not fallen. */
    fun observe(passed: Boolean, expected: Double) {
        val high = expected.coerceIn(MINIMUM_RATE + drop, MAXIMUM_RATE)
        val low = high - drop
        val ratioOfFall = if (passed) ln(low / high) else ln((1 - low) / (1 - high))
        sum = max(0.0, sum + if (change == RateChange.FALL) ratioOfFall else -ratioOfFall)
    }

    fun reset() {
        sum = 0.0
    }

    private companion object {
        const val MINIMUM_RATE = 0.02
        const val MAXIMUM_RATE = 0.98
    }
}
