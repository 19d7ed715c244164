package io.quetzalfield.forwarding.crashes

import io.quetzalfield.model.RequestFingerprint
import kotlin.time.ComparableTimeMark

/**
 * Finds the parts of prompts that may explain why endpoints ended.
 *
 * Load pattern: endpoints end in quick succession. Each had a few requests that it had just begun to answer and many
 * that were waiting, all with several parts, and most of these parts are sound and are shared by most requests. A part
 * qualifies if it explains several losses since the last answer to a request with it, which clears the parts that many
 * requests share, and if no single request was present at all of these losses, as that request would explain them.
 */
internal class PartAttribution(
    private val rules: CrashRules,
    private val answeredAt: (String) -> ComparableTimeMark?,
) {
    /** The evidence against one part. */
    private class Evidence(val part: String, val wasAnswered: Boolean) {
        val crashes = mutableListOf<Crash>()
        var position = 0
        val weight: Int get() = crashes.sumOf(Crash::weight)
    }

    /** Losses that count as one; [first] is the first of them. */
    private class Crash(val first: EndpointLoss) {
        var weight = 0
        val requests = HashSet<RequestFingerprint>()
    }

    /** Returns the parts that qualify, the likeliest first, for [losses] in the order of their times. */
    fun qualified(losses: List<EndpointLoss>): List<String> = collect(losses).values
        .filter(::isSufficient)
        // A part that was never answered is likelier than one that was, and a later one is shared by fewer prompts.
        .sortedWith(
            compareBy(Evidence::wasAnswered)
                .thenByDescending(Evidence::weight)
                .thenByDescending(Evidence::position)
                .thenBy(Evidence::part),
        )
        .map(Evidence::part)

    private fun collect(losses: List<EndpointLoss>): Map<String, Evidence> {
        val evidence = LinkedHashMap<String, Evidence>()
        for (loss in losses) for (candidate in loss.all) addAll(evidence, loss, candidate)
        return evidence
    }

    private fun addAll(evidence: MutableMap<String, Evidence>, loss: EndpointLoss, candidate: CrashCandidate) {
        for ((position, part) in candidate.parts.withIndex()) {
            val answered = answeredAt(part)
            if (answered != null && answered >= loss.at) continue
            val current = evidence.getOrPut(part) { Evidence(part, answered != null) }
            current.position = maxOf(current.position, position)
            current.add(loss, candidate)
        }
    }

    private fun Evidence.add(loss: EndpointLoss, candidate: CrashCandidate) {
        val last = crashes.lastOrNull()?.takeIf { it.first === loss || (wasAnswered && isSameTime(it.first, loss)) }
        val crash = last ?: Crash(loss).also(crashes::add)
        crash.weight = maxOf(crash.weight, loss.weightOf(candidate))
        crash.requests += candidate.request
    }

    /** Losses of a part that is in use may have a common cause; requests with it are at several endpoints. */
    private fun isSameTime(first: EndpointLoss, loss: EndpointLoss) = loss.at - first.at < rules.simultaneous

    private fun isSufficient(evidence: Evidence): Boolean {
        val crashes = evidence.crashes
        val needed = if (evidence.wasAnswered) rules.answeredPartCrashes else rules.partCrashes
        if (evidence.weight < needed * EndpointLoss.FULL_WEIGHT) return false
        if (evidence.wasAnswered &&
            crashes.last().first.at - crashes.first().first.at < rules.answeredPartSpan
        ) {
            return false
        }
        return crashes.first().requests.none { request -> crashes.all { request in it.requests } }
    }
}
