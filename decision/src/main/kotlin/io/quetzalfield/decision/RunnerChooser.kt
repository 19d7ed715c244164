package io.quetzalfield.decision

import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.RequestPriority
import io.quetzalfield.model.RunnerId

/**
 * An entry's view of a runner.
 *
 * @property slots number of requests that the runner batches at a time.
 * @property reportedRequests requests running and waiting in the runner's last report, which lags.
 * @property sentSinceReport change in the number of this entry's requests on the runner since that report: those sent
 * minus those ended; may be negative.
 * @property cachedPrefixes hashes of the prompt prefixes that the runner probably has in its cache.
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
    /** Expected number of requests on the runner: the lagging report, corrected by requests sent and ended since. */
    val expectedRequests: Int get() = (reportedRequests + sentSinceReport).coerceAtLeast(0)
}

/**
 * A request for which a runner is chosen.
 *
 * @property prefixHash hash of the prompt's prefix, for which runners may have cached results; `null` if unknown.
 * @property excluded runners that must not be chosen, such as those that were tried before.
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
    /** Returns the runner to send [request] to; `null` if none of [runners] may be used. */
    public fun choose(request: RunnerRequest, runners: List<RunnerView>): RunnerView?
}

/** Selects the runner with the lowest load per slot; of equally loaded runners, prefers the own failure domain. */
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
