package io.quetzalfield.decision

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.math.ln
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class SoundnessTestTest {
    private val soundness = SoundnessTest()
    private val baseline = HarmCount(trials = 100, bad = 3)

    private fun evidence(new: HarmCount) = soundness.logEvidence(new, baseline, expectedRate = 0.01)

    @Test
    fun `no outcome is no evidence`() {
        assertEquals(0.0, evidence(HarmCount(0, 0)))
        assertTrue(SoundnessTest().logEvidence(HarmCount(5, 0), HarmCount(0, 0), expectedRate = 0.01) > 0)
    }

    @Test
    fun `good outcomes are evidence for a version, and bad ones against it`() {
        assertTrue(evidence(HarmCount(9, 0)) > ln(20.0))
        assertTrue(evidence(HarmCount(7, 3)) < 0)
    }

    /** Load pattern: the answers of a version come one by one, and the evidence is evaluated after each. */
    @ParameterizedTest
    @ValueSource(doubles = [0.38, 0.5, 0.6])
    fun `a bad version is seldom taken for sound`(errorRate: Double) {
        val passed = (1..RUNS).count { seed -> evidenceOf(Random(seed), errorRate).any { it >= ln(20.0) } }
        assertTrue(passed <= RUNS / 20, "$passed of $RUNS")
    }

    @Test
    fun `a version as good as the previous one is shown to be sound within a few answers`() {
        val shown = (1..RUNS).count { seed -> evidenceOf(Random(seed), errorRate = 0.03).any { it >= ln(20.0) } }
        assertTrue(shown >= RUNS * 0.99, "$shown of $RUNS")
    }

    private fun evidenceOf(random: Random, errorRate: Double): List<Double> = buildList {
        var bad = 0L
        for (trials in 1L..ANSWERS) {
            if (random.nextDouble() < errorRate) bad++
            add(evidence(HarmCount(trials, bad)))
        }
    }

    private companion object {
        const val RUNS = 1_000
        const val ANSWERS = 40
    }
}
