package io.quetzalfield.decision

import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.RequestPriority
import io.quetzalfield.model.RunnerId

/**
 * What an entry knows of a runner.
 *
 * @property reportedRequests requests running and waiting, by its last report, which lags.
 * @property sentSinceReport requests that this entry has sent and not seen end since that report.
 * @property cachedPrefixes hashes of prompt prefixes that it is thought to hold.
 */
public data class RunnerView(
    val id: RunnerId,
    val address: String,
    val failureDomain: FailureDomainId,
    val versions: Set<ModelVersionReference>,
    val slots: Int = 8,
    val reportedRequests: Int = 0,
    val sentSinceReport: Int = 0,
    val cachedPrefixes: Set<Long> = emptySet(),
) {
    /** Requests that are expected on the runner now: the lagging report, corrected by what was sent and ended since. */
    val expectedRequests: Int get() = (reportedRequests + sentSinceReport).coerceAtLeast(0)
}

/**
 * What a runner is chosen for.
 *
 * @property prefixHash hash of the prompt's prefix, by which engines reuse cached work.
 * @property excluded runners that must not be taken, such as those that were tried before.
 */
public data class RunnerRequest(
    val version: ModelVersionReference,
    val ownFailureDomain: FailureDomainId,
    val prefixHash: Long? = null,
    val excluded: Set<RunnerId> = emptySet(),
    val priority: RequestPriority = RequestPriority.NORMAL,
)

/** Chooses the runner for one attempt. */
public fun interface RunnerChooser {
    /** The runner to send to; `null` when no runner of [runners] may take the request. */
    public fun choose(request: RunnerRequest, runners: List<RunnerView>): RunnerView?
}

/** Takes the runner with the least load for its slots; prefers the own failure domain between equals. */
public object LeastLoadedRunnerChooser : RunnerChooser {
    override fun choose(request: RunnerRequest, runners: List<RunnerView>): RunnerView? = runners
        .filter { request.version in it.versions && it.id !in request.excluded }
        .minWithOrNull(
            compareBy(
                { it.expectedRequests.toDouble() / it.slots },
                { it.failureDomain != request.ownFailureDomain },
                { it.id.value },
            ),
        )
}
