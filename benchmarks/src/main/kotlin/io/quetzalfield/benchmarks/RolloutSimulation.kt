package io.quetzalfield.benchmarks

import io.quetzalfield.decision.ExpectedRates
import io.quetzalfield.decision.RolloutObservations
import io.quetzalfield.decision.RolloutTest
import io.quetzalfield.decision.RolloutVerdict
import kotlin.random.Random

private const val BAD_SEEDS = 1_000
private const val HEALTHY_SEEDS = 5_000
private const val LIMIT = 2_000
private const val HEALTHY_LIMIT = 1_000
private const val MEDIAN = 0.5
private const val HIGH_QUANTILE = 0.95
private val PassRates = listOf(0.95, 0.9, 0.8, 0.7, 0.6)

/**
 * Parameters of a simulated roll-out.
 *
 * @property answersBefore number of answers of the version before that were observed when the roll-out begins.
 * @property oldPerNew number of answers of the version before for each answer of the new version.
 * @property ratedShare share of the answers that are ever rated.
 * @property ratingLag number of later answers of the same version that precede the rating of an answer.
 * @property expectationError error of the pass rate that is expected of the version before.
 */
private data class Scenario(
    val answersBefore: Int = 500,
    val oldPerNew: Int = 9,
    val ratedShare: Double = 0.7,
    val ratingLag: Int = 5,
    val expectationError: Double = 0.03,
)

private class SimulatedVersion(private val passRate: Double, private val scenario: Scenario) {
    private val unrated = ArrayDeque<Boolean>()

    fun observe(random: Random): RolloutObservations {
        unrated += random.nextDouble() < passRate
        val passed = if (unrated.size > scenario.ratingLag) unrated.removeFirst() else null
        val isRated = passed != null && random.nextDouble() < scenario.ratedShare
        return RolloutObservations(
            answers = 1,
            rated = if (isRated) 1 else 0,
            passed = if (isRated && passed == true) 1 else 0,
        )
    }
}

private fun answersUntilStop(newRate: Double, oldRate: Double, limit: Int, seed: Int, scenario: Scenario): Int? {
    val random = Random(seed)
    val test = RolloutTest()
    val expected = ExpectedRates(passRate = (oldRate + scenario.expectationError).coerceAtMost(1.0))
    val new = SimulatedVersion(newRate, scenario)
    val old = SimulatedVersion(oldRate, scenario)
    var newSums = RolloutObservations()
    var oldSums = RolloutObservations()
    repeat(scenario.answersBefore) { oldSums += old.observe(random) }
    for (answer in 1..limit) {
        repeat(scenario.oldPerNew) { oldSums += old.observe(random) }
        newSums += new.observe(random)
        if (test.evaluate(newSums, oldSums, expected) is RolloutVerdict.Harmful) return answer
    }
    return null
}

private fun report(name: String, scenario: Scenario) {
    for (rate in PassRates) {
        val stops = (1..BAD_SEEDS).map { answersUntilStop(rate / 2, rate, LIMIT, it, scenario) ?: LIMIT }.sorted()
        val falseStops = (1..HEALTHY_SEEDS).count {
            answersUntilStop(rate, rate, HEALTHY_LIMIT, it, scenario) != null
        }
        val median = stops[(BAD_SEEDS * MEDIAN).toInt()]
        val high = stops[(BAD_SEEDS * HIGH_QUANTILE).toInt()]
        println("$name | $rate | $median | $high | $falseStops of $HEALTHY_SEEDS")
    }
}

/** Prints how soon a version of half the quality is stopped, and how often a healthy one is stopped. */
internal fun reportRollouts() {
    println("scenario | pass rate before | median answers until stop | 95th percentile | false stops")
    report("typical", Scenario())
    report("no history", Scenario(answersBefore = 0))
    report("expectation 0.15 off", Scenario(expectationError = -0.15))
}
