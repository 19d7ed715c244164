package io.quetzalfield.replay

import io.quetzalfield.model.RefusalReason
import kotlinx.serialization.Serializable
import kotlin.math.sqrt

/** A mean over seeds, with the half-width of its 95% confidence interval by the normal approximation. */
@Serializable
public data class MeanWithInterval(val mean: Double, val halfWidth: Double)

/**
 * The measures of one policy over one or more traces.
 *
 * @property costByTenth mean cost per accepted answer in each tenth of the traces.
 * @property passShareByTenth mean share of answers that pass in each tenth.
 * @property refusals mean number of refused requests by reason.
 */
@Serializable
public data class PolicySummary(
    val policy: String,
    val seeds: Int,
    val measures: Map<Measure, MeanWithInterval>,
    val costByTenth: List<Double>,
    val passShareByTenth: List<Double>,
    val refusals: Map<RefusalReason, Double>,
)

/** Summarises [runs] of one policy. */
public fun summarise(runs: List<ReplayMeasures>): PolicySummary {
    require(runs.isNotEmpty()) { "there are no runs; allowed: one or more" }
    val reasons = runs.flatMap { it.refusals.keys }.distinct()
    return PolicySummary(
        policy = runs.first().policy,
        seeds = runs.size,
        measures = Measure.entries.associateWith { measure -> mean(runs.map(measure.value)) },
        costByTenth = meanByIndex(runs.map { it.costByTenth }),
        passShareByTenth = meanByIndex(runs.map { it.passShareByTenth }),
        refusals = reasons.associateWith { reason -> runs.sumOf { it.refusals[reason] ?: 0 }.toDouble() / runs.size },
    )
}

/** Replays one generated trace per seed by each of [policies]. */
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

private fun mean(values: List<Double>): MeanWithInterval {
    val mean = values.average()
    if (values.size < 2) return MeanWithInterval(mean, halfWidth = 0.0)
    val variance = values.sumOf { (it - mean) * (it - mean) } / (values.size - 1)
    return MeanWithInterval(mean, NORMAL_QUANTILE_95 * sqrt(variance / values.size))
}
