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

/** A rated answer that a policy learns from. */
public data class ReplayedAnswer(
    val version: ModelVersionReference,
    val kind: String,
    val score: Double,
    val escalation: Escalation? = null,
)

/** Receives the observations that a policy learns from. */
public interface PolicyFeedback {
    /** Called when lists come into force, including those at the start. */
    public fun onLists(snapshot: ListsSnapshot) {}

    /** Called with the score of a first or only stage, whether or not its answer is accepted. */
    public fun onScore(version: ModelVersionReference, kind: String, score: Double) {}

    /** Called with the latency of an attempt that has finished. */
    public fun onLatency(version: ModelVersionReference, latency: VersionLatency) {}

    /** Called when the rating of an answer arrives. */
    public fun onRating(answer: ReplayedAnswer, passed: Boolean) {}

    /** The versions that the policy has stopped before the lists withdraw them. */
    public fun stoppedVersions(): Set<ModelVersionReference> = emptySet()

    public companion object {
        /** Learns nothing. */
        public val None: PolicyFeedback = object : PolicyFeedback {}
    }
}

/**
 * A routed request that awaits admission.
 *
 * @property version the version of the first stage.
 * @property pressure observed number of requests running and waiting at the runners, divided by their slots.
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
    /**
     * Admits or refuses [request].
     *
     * @return the reason of a refusal, or a function to call at the end of the request with the number of generated
     * tokens.
     */
    public fun admit(request: ReplayAdmissionRequest): Either<NotRun, (Int) -> Unit>

    public companion object {
        /** Admits every request. */
        public val AdmitAll: ReplayAdmission = ReplayAdmission { { _: Int -> }.right() }
    }
}

/** The policy under which a trace is replayed. */
public class ReplayPolicy(
    public val routes: RouteChooser,
    public val runners: RunnerChooser = LeastLoadedRunnerChooser,
    public val feedback: PolicyFeedback = PolicyFeedback.None,
    public val admission: ReplayAdmission = ReplayAdmission.AdmitAll,
)

/** The trace, clock and random source that a policy is built from. */
public class PolicyContext(
    public val trace: Trace,
    public val timeSource: TimeSource.WithComparableMarks,
    public val random: Random,
    public val now: () -> Duration,
)
