package io.quetzalfield.decision

/**
 * Relative importance of cost, latency and exposure in the choice of a route. Only the ratios matter.
 *
 * @property cost weight of the expected cost, relative to the most expensive eligible version.
 * @property latency weight of the expected time to the complete answer, relative to the plan's deadline.
 * @property exposure weight of the standard error of the pass rate of the versions that answer.
 */
public data class DecisionWeights(val cost: Double, val latency: Double, val exposure: Double) {
    init {
        require(listOf(cost, latency, exposure).all { it >= 0 }) { "weights are $this; allowed: 0 or more" }
        require(cost + latency + exposure > 0) { "all weights are 0; allowed: at least one above 0" }
    }

    public companion object {
        /** Prefers low latency, then low exposure: a technician waits at the bench for the answer. */
        public val KalkkilaNeedleCalibration: DecisionWeights =
            DecisionWeights(cost = 0.2, latency = 0.5, exposure = 0.3)

        /** Prefers low cost: plans are long and members pay little. */
        public val WateringAdvice: DecisionWeights =
            DecisionWeights(cost = 0.8, latency = 0.1, exposure = 0.1)
    }
}
