package io.quetzalfield.replay

import io.quetzalfield.model.RefusalReason
import kotlinx.serialization.Serializable
import kotlin.math.ceil
import kotlin.math.sqrt

/**
 * Statistics of a measure over several seeds.
 *
 * @property halfWidth half-width of the 95% confidence interval of the mean, by the normal approximation.
 */
@Serializable
public data class SeedStatistics(val mean: Double, val halfWidth: Double, val median: Double, val percentile95: Double)

/**
 * The summary of one policy over one or more traces.
 *
 * @property costByTenth mean cost per accepted answer in each tenth of the traces.
 * @property passShareByTenth mean share of answers that pass in each tenth.
 * @property refusals mean number of refused requests by reason.
 */
@Serializable
public data class PolicySummary(
    val policy: String,
    val seeds: Int,
    val measures: Map<Measure, SeedStatistics>,
    val costByTenth: List<Double>,
    val passShareByTenth: List<Double>,
    val refusals: Map<RefusalReason, Double>,
)

/** Summarises [runs] of one policy. */
public fun summarise(runs: List<ReplayMeasures>): PolicySummary {
    require(runs.isNotEmpty()) { "runs is empty; allowed: one or more" }
    val reasons = runs.flatMap { it.refusals.keys }.distinct()
    return PolicySummary(
        policy = runs.first().policy,
        seeds = runs.size,
        measures = Measure.entries.associateWith { measure -> statistics(runs.map(measure.value)) },
        costByTenth = meanByIndex(runs.map { it.costByTenth }),
        passShareByTenth = meanByIndex(runs.map { it.passShareByTenth }),
        refusals = reasons.associateWith { reason -> runs.sumOf { it.refusals[reason] ?: 0 }.toDouble() / runs.size },
    )
}

/** Replays one generated trace per seed under each of [policies]. */
public fun replaySeeds(
    deployment: Deployment,
    seeds: List<Long>,
    policies: List<NamedPolicy>,
    settings: GeneratorSettings,
): List<PolicySummary> {
    val runs = seeds.flatMap { seed ->
        val trace = generateTrace(deployment, settings.copy(seed = seed))
        policies.map { replay(trace, it, seed) }
    }
    return runs.groupBy { it.policy }.values.map(::summarise)
}

private fun meanByIndex(lists: List<List<Double>>): List<Double> =
    lists.first().indices.map { index -> lists.map { it[index] }.average() }

private const val NORMAL_QUANTILE_95 = 1.96

private const val MEDIAN = 0.5
private const val PERCENTILE_95 = 0.95

private fun statistics(values: List<Double>): SeedStatistics {
    val mean = values.average()
    val variance = values.sumOf { (it - mean) * (it - mean) } / maxOf(values.size - 1, 1)
    return SeedStatistics(
        mean = mean,
        halfWidth = NORMAL_QUANTILE_95 * sqrt(variance / values.size),
        median = quantile(values, MEDIAN),
        percentile95 = quantile(values, PERCENTILE_95),
    )
}

/** The smallest of [values] that a share of at least [share] of them does not exceed. */
private fun quantile(values: List<Double>, share: Double): Double =
    values.sorted()[(ceil(share * values.size).toInt() - 1).coerceAtLeast(0)]
