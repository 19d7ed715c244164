package io.quetzalfield.forwarding.choice

import io.quetzalfield.decision.ExpectedRates
import io.quetzalfield.decision.HarmCount
import io.quetzalfield.decision.RolloutObservations
import io.quetzalfield.decision.SoundnessTest
import kotlin.math.ln
import kotlin.time.Duration

/**
 * What is known of the versions of a service when the next step of a roll-out is decided.
 *
 * @property new observations of the new version.
 * @property baseline observations of the previous versions.
 * @property atShare observations of the new version since its current share took effect.
 * @property isCurrent whether the instances have stored their observations since they applied the current step. Until
 * then, observations may be missing, for instance those made while the store was unavailable.
 * @property stepAge time for which the holder of the duty has known the current step.
 */
public data class RolloutEvidence(
    val new: RolloutObservations,
    val baseline: RolloutObservations,
    val atShare: RolloutObservations = new,
    val isCurrent: Boolean = true,
    val stepAge: Duration = Duration.INFINITE,
) {
    /** Whether the new version is likely enough to be sound to get all requests, which can be taken back. */
    internal val allowsFullShare: Boolean get() = errorsOf(new) >= FullShareEvidence && isSpeedLikelySound

    /**
     * Whether the new version has been proven not to fail more, on the whole and under its current share. Under the
     * full share answers are no longer timed, so that speed has to be judged before.
     */
    internal val isProof: Boolean get() = errorsOf(atShare) >= ProofAtShare && errorsOf(new) >= Proof

    /** Whether the new version has been proven to answer as fast as the previous ones. */
    internal val isSpeedProof: Boolean get() = speedEvidence >= ProofAtShare

    /** Whether nothing suggests that the version is unsound. Also true without an answer. */
    internal val isNotAdverse: Boolean get() = errorsOf(new) >= 0

    /** Whether the version has answered under its current share and is more likely sound than not. */
    internal val isLikelySound: Boolean get() = errorsOf(atShare) > 0 && isNotAdverse

    internal val isSpeedLikelySound: Boolean get() = baseline.timed < MINIMUM_TIMED_BASELINE || speedEvidence > 0

    private val speedEvidence: Double
        get() = speedTest.logEvidence(
            HarmCount(new.timed, new.slow),
            HarmCount(baseline.timed, baseline.slow),
            Expected.slowRate,
        )

    private fun errorsOf(seen: RolloutObservations): Double = errorTest.logEvidence(
        HarmCount(seen.answers + seen.errors, seen.errors),
        HarmCount(baseline.answers + baseline.errors, baseline.errors),
        Expected.errorRate,
    )

    private companion object {
        val errorTest = SoundnessTest()

        /** Endpoints that have just started are slow, and slow answers come in groups, when endpoints read prompts. */
        val speedTest = SoundnessTest(margin = 0.2)
        val Expected = ExpectedRates(slowRate = 0.02)

        /** One bad version in 5 gets the full share, under which it is observed further. */
        val FullShareEvidence = ln(5.0)

        val ProofAtShare = ln(20.0)

        /** One bad version in 100 gets so far, if it is bad from its first answer. */
        val Proof = ln(100.0)

        /** Fewer timed answers of the previous versions may mean that answers of this service are not timed. */
        const val MINIMUM_TIMED_BASELINE = 30
    }
}
