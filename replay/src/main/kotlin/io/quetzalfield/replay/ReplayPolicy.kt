package io.quetzalfield.replay

import arrow.core.Either
import arrow.core.right
import io.quetzalfield.decision.Escalation
import io.quetzalfield.decision.LeastLoadedRunnerChooser
import io.quetzalfield.decision.RouteChooser
import io.quetzalfield.decision.RunnerChooser
import io.quetzalfield.decision.VersionLatency
import io.quetzalfield.model.ClientAccount
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.Plan
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.TimeSource

/** An answer as the policy learns from it. */
public data class ReplayedAnswer(
    val version: ModelVersionReference,
    val kind: String,
    val score: Double,
    val escalation: Escalation? = null,
)

/** What a policy learns from. */
public interface PolicyFeedback {
    /** New lists are in force; called once at the start too. */
    public fun onLists(snapshot: ListsSnapshot) {}

    /** A first or only stage has a score, whether its answer is accepted or not. */
    public fun onScore(version: ModelVersionReference, kind: String, score: Double) {}

    /** An attempt has ended. */
    public fun onLatency(version: ModelVersionReference, latency: VersionLatency) {}

    /** The rating of an answer has come. */
    public fun onRating(answer: ReplayedAnswer, passed: Boolean) {}

    /** The versions that the policy has stopped ahead of the lists. */
    public fun stoppedVersions(): Set<ModelVersionReference> = emptySet()

    public companion object {
        /** Learns nothing. */
        public val None: PolicyFeedback = object : PolicyFeedback {}
    }
}

/**
 * What admission is asked for.
 *
 * @property version the version of the first stage.
 * @property pressure requests running and waiting at the runners, as far as reports tell, divided by their slots.
 */
public data class ReplayAdmissionRequest(
    val account: ClientAccount,
    val plan: Plan,
    val version: ModelVersionReference,
    val expectedTokens: Int,
    val pressure: Double,
)

/** Decides which routed requests run. */
public fun interface ReplayAdmission {
    /** Admits the request and gives what to call with the number of generated tokens at its end, or refuses it. */
    public fun admit(request: ReplayAdmissionRequest): Either<NotRun, (Int) -> Unit>

    public companion object {
        /** Admits everything. */
        public val AdmitAll: ReplayAdmission = ReplayAdmission { { _: Int -> }.right() }
    }
}

/** The decisions that a replay runs. */
public class ReplayPolicy(
    public val routes: RouteChooser,
    public val runners: RunnerChooser = LeastLoadedRunnerChooser,
    public val feedback: PolicyFeedback = PolicyFeedback.None,
    public val admission: ReplayAdmission = ReplayAdmission.AdmitAll,
)

/** What a policy is built from. */
public class PolicyContext(
    public val trace: Trace,
    public val timeSource: TimeSource.WithComparableMarks,
    public val random: Random,
    public val now: () -> Duration,
)
