package io.quetzalfield.forwarding.crashes

import io.quetzalfield.model.RunnerId
import kotlin.time.ComparableTimeMark

/** The losses of endpoints that this instance knows of, a bounded number. */
internal class LossRecords(private val rules: CrashRules) {
    private val losses = ArrayList<EndpointLoss>()

    /** In the order of their times. */
    val all: List<EndpointLoss> get() = losses

    fun newest(endpoint: RunnerId): EndpointLoss? = losses.lastOrNull { it.endpoint == endpoint }

    /**
     * Returns the loss of [endpoint] at [at], which is added unless it is known. One with the same [candidates] is the
     * same, reported with a wrong age; one after which the endpoint was alive at [at] is another.
     */
    fun add(endpoint: RunnerId, at: ComparableTimeMark, candidates: List<CrashCandidate> = emptyList()): EndpointLoss {
        val ofEndpoint = losses.filter { it.endpoint == endpoint }
        val known = ofEndpoint.lastOrNull { (at - it.at).absoluteValue < rules.sameLoss && !it.isRefutedBefore(at) }
            ?: ofEndpoint.lastOrNull { candidates.isNotEmpty() && it.holdsAll(candidates) }
        if (known != null) return known
        if (losses.size >= MAXIMUM_LOSSES) losses.remove(losses.firstOrNull { !it.isConfirmed } ?: losses.first())
        val loss = EndpointLoss(endpoint, at)
        losses.add(losses.indexOfLast { it.at <= at } + 1, loss)
        return loss
    }

    fun removeExpired(now: ComparableTimeMark) {
        losses.removeAll { now - it.at >= rules.retention }
    }

    private fun EndpointLoss.holdsAll(candidates: List<CrashCandidate>) = candidates.all { find(it.request) != null }

    private companion object {
        /** More than end in a series before its cause is refused; about 400 KB with all their requests. */
        const val MAXIMUM_LOSSES = 64
    }
}
