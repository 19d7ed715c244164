package io.quetzalfield.decision

import io.quetzalfield.model.RequestPriority
import kotlin.random.Random

/**
 * Weights of [ExpectedFinishRunnerChooser]. Times are in units of the time that an answer takes on an idle runner.
 *
 * @property sampledRunners number of runners in each random sample; runners with a warm prefix cache are compared too.
 * @property fullBatchSlowdown how much longer an answer takes in a full batch than alone.
 * @property prefixSaving time saved when the prompt's prefix is in the runner's cache.
 * @property homeSaving time that is likely saved on the runner to which the prefix hashes, while no cache event has
 * confirmed it.
 * @property otherDomainPenalty time added when the runner is in another failure domain.
 * @property normalSlotShare share of a runner's slots that requests of normal priority may fill before they count as
 * queued; the rest is reserved for interactive requests.
 * @property backgroundSlotShare the same share for background requests.
 */
public data class RunnerChoiceWeights(
    val sampledRunners: Int = 2,
    val fullBatchSlowdown: Double = 1.0,
    val prefixSaving: Double = 0.3,
    val homeSaving: Double = 0.1,
    val otherDomainPenalty: Double = 0.05,
    val normalSlotShare: Double = 0.95,
    val backgroundSlotShare: Double = 0.8,
)

/**
 * Selects the runner with the earliest expected finish among a few candidates: a random sample of the entry's own
 * failure domain, a random sample of all runners, runners that have the prompt's prefix cached, and the runner to which
 * the prefix hashes.
 *
 * Sampling (Mitzenmacher, "The power of two choices in randomized load balancing", 2001) prevents entries that see the
 * same outdated reports from all sending to the same runner. Because both the own failure domain and all runners are
 * sampled, a request leaves its domain only when the load there outweighs the distance.
 *
 * @param random source of randomness; called only under this chooser's lock.
 */
public class ExpectedFinishRunnerChooser(
    private val weights: RunnerChoiceWeights = RunnerChoiceWeights(),
    private val random: Random = Random.Default,
) : RunnerChooser {
    private val lock = Any()

    override fun choose(request: RunnerRequest, runners: List<RunnerView>): RunnerView? {
        val eligible = runners.filter { request.version in it.versions && it.id !in request.excluded }
        if (eligible.size <= 1) return eligible.firstOrNull()
        val home = request.prefixHash?.let { hash -> eligible.maxBy { prefixAffinity(hash, it) } }
        return candidates(request, eligible, home).minBy { expectedFinish(request, it, home) }
    }

    private fun candidates(request: RunnerRequest, eligible: List<RunnerView>, home: RunnerView?): List<RunnerView> {
        val candidates = ArrayList<RunnerView>(2 * weights.sampledRunners + MAXIMUM_WARM_RUNNERS + 1)
        sampleInto(candidates, eligible.filter { it.failureDomain == request.ownFailureDomain })
        sampleInto(candidates, eligible)
        home?.let(candidates::add)
        request.prefixHash?.let { hash -> addWarmRunners(candidates, eligible, hash) }
        return candidates
    }

    private fun sampleInto(candidates: MutableList<RunnerView>, runners: List<RunnerView>) {
        if (runners.size <= weights.sampledRunners) {
            candidates += runners
            return
        }
        synchronized(lock) { repeat(weights.sampledRunners) { candidates += runners[random.nextInt(runners.size)] } }
    }

    private fun addWarmRunners(candidates: MutableList<RunnerView>, eligible: List<RunnerView>, prefixHash: Long) {
        var added = 0
        for (runner in eligible) {
            if (added == MAXIMUM_WARM_RUNNERS) return
            if (prefixHash !in runner.cachedPrefixes) continue
            candidates += runner
            added++
        }
    }

    private fun expectedFinish(request: RunnerRequest, runner: RunnerView, home: RunnerView?): Double {
        val usableSlots = (runner.slots * slotShare(request.priority)).coerceAtLeast(1.0)
        val load = runner.expectedRequests
        val answer = 1.0 + weights.fullBatchSlowdown * (load / usableSlots).coerceAtMost(1.0)
        val queued = (load + 1 - usableSlots).coerceAtLeast(0.0)
        val wait = queued / usableSlots * answer
        val distance = if (runner.failureDomain == request.ownFailureDomain) 0.0 else weights.otherDomainPenalty
        return wait + answer + distance - saving(request.prefixHash, runner, home)
    }

    private fun saving(prefixHash: Long?, runner: RunnerView, home: RunnerView?): Double = when {
        prefixHash == null -> 0.0
        prefixHash in runner.cachedPrefixes -> weights.prefixSaving
        runner === home -> weights.homeSaving
        else -> 0.0
    }

    private fun slotShare(priority: RequestPriority): Double = when (priority) {
        RequestPriority.INTERACTIVE -> 1.0
        RequestPriority.NORMAL -> weights.normalSlotShare
        RequestPriority.BACKGROUND -> weights.backgroundSlotShare
    }

    private companion object {
        const val MAXIMUM_WARM_RUNNERS = 2
        const val MULTIPLIER = -0x61c8864680b583ebL
        const val SHIFT = 32

        /** Rendezvous weight of a runner for a prefix. Does not allocate, because it is computed for every runner. */
        fun prefixAffinity(prefixHash: Long, runner: RunnerView): Long {
            val mixed = (prefixHash xor (runner.id.value.hashCode().toLong() * MULTIPLIER)) * MULTIPLIER
            return (mixed xor (mixed ushr SHIFT)) * MULTIPLIER
        }
    }
}
