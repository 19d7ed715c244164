package io.quetzalfield.forwarding.crashes

import io.quetzalfield.model.RequestFingerprint
import io.quetzalfield.model.RunnerId
import kotlin.time.ComparableTimeMark

/** The loss of one start of an endpoint with the requests that may have caused it, as all instances report them. */
internal class EndpointLoss(val endpoint: RunnerId, val at: ComparableTimeMark) {
    private val candidates = LinkedHashMap<RequestFingerprint, CrashCandidate>()

    /** Whether the endpoint is known to have ended. A loss that is not confirmed may be a cut connection. */
    var isConfirmed: Boolean = false
        private set

    /** Whether its entry shows that it has ended. */
    var isCertain: Boolean = false
        private set

    /** Time at which the endpoint was alive after the loss; `null` while it was not seen to be. */
    private var aliveAt: ComparableTimeMark? = null

    /** Whether the endpoint is known to have lived on. */
    val isRefuted: Boolean get() = aliveAt != null && !isCertain

    /** Whether the loss is neither confirmed nor refuted. */
    val isOpen: Boolean get() = !isConfirmed && aliveAt == null

    /** Records that the endpoint has ended, and returns whether that is new. */
    fun confirm(isCertain: Boolean): Boolean {
        if (!isCertain && aliveAt != null) return false
        val isNew = !isConfirmed || (isCertain && !this.isCertain)
        isConfirmed = true
        this.isCertain = this.isCertain || isCertain
        return isNew
    }

    /** Records that the endpoint was alive at [at], after the loss, and returns whether that is new. */
    fun refute(at: ComparableTimeMark): Boolean {
        if (isCertain || aliveAt != null) return false
        aliveAt = at
        isConfirmed = false
        return true
    }

    /** Whether the endpoint was alive between this loss and [at]. */
    fun isRefutedBefore(at: ComparableTimeMark): Boolean = aliveAt.let { it != null && it <= at }

    /** Parts of the prompts of all candidates. */
    val parts = HashSet<String>()

    val all: Collection<CrashCandidate> get() = candidates.values

    /** Adds [candidate] and returns whether that is new. */
    fun add(candidate: CrashCandidate): Boolean {
        val known = candidates[candidate.request]
        if (known != null && (known.hasBegun || !candidate.hasBegun)) return false
        if (known == null && candidates.size >= MAXIMUM_CANDIDATES && !makeRoomFor(candidate)) return false
        candidates[candidate.request] = candidate
        parts += candidate.parts
        return true
    }

    /** Replaces a request that was still waiting, as one that had begun is the likelier cause. */
    private fun makeRoomFor(candidate: CrashCandidate): Boolean {
        if (!candidate.hasBegun) return false
        val waiting = candidates.values.firstOrNull { !it.hasBegun } ?: return false
        return candidates.remove(waiting.request) != null
    }

    fun find(request: RequestFingerprint): CrashCandidate? = candidates[request]

    /**
     * The weight of [candidate] as the cause: if the endpoint had just begun to answer some requests, these are more
     * likely than those that were waiting.
     */
    fun weightOf(candidate: CrashCandidate): Int =
        if (candidate.hasBegun || candidates.values.none(CrashCandidate::hasBegun)) FULL_WEIGHT else WAITING_WEIGHT

    companion object {
        const val FULL_WEIGHT = 3
        const val WAITING_WEIGHT = 1

        /** Requests that a busy endpoint runs or is about to run. */
        const val MAXIMUM_CANDIDATES = 64
    }
}
