package io.quetzalfield.decision

import kotlin.math.ln
import kotlin.math.sqrt

private const val NUMERATOR_0 = 2.515517
private const val NUMERATOR_1 = 0.802853
private const val NUMERATOR_2 = 0.010328
private const val DENOMINATOR_1 = 1.432788
private const val DENOMINATOR_2 = 0.189269
private const val DENOMINATOR_3 = 0.001308
private const val MEDIAN = 0.5

/**
 * Quantile of the standard normal distribution at [probability], by the rational approximation 26.2.23 of Abramowitz
 * and Stegun. The absolute error is below 0.00045.
 *
 * @throws IllegalArgumentException if [probability] is not between 0 and 1, both exclusive.
 */
public fun normalQuantile(probability: Double): Double {
    require(probability > 0 && probability < 1) { "the probability is $probability; allowed: between 0 and 1" }
    val tail = if (probability < MEDIAN) probability else 1 - probability
    val t = sqrt(2 * ln(1 / tail))
    val numerator = NUMERATOR_0 + t * (NUMERATOR_1 + t * NUMERATOR_2)
    val denominator = 1 + t * (DENOMINATOR_1 + t * (DENOMINATOR_2 + t * DENOMINATOR_3))
    val magnitude = t - numerator / denominator
    return if (probability < MEDIAN) -magnitude else magnitude
}
