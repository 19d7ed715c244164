package io.quetzalfield.forwarding.crashes

import io.quetzalfield.model.RunnerId
import kotlin.time.ComparableTimeMark

/**
 * The refusal of requests with one suspect.
 *
 * @property at when the last endpoint ended by it.
 * @property isOwn whether this instance has decided it.
 * @property wasAnswered whether requests with the suspect were answered before.
 */
internal class Blame(var at: ComparableTimeMark, val isOwn: Boolean, private val wasAnswered: Boolean) {
    /** The starts of endpoints that it made end, or the last of them. */
    val endpoints = LinkedHashSet<RunnerId>()

    /** When a request was refused last. */
    var refusedAt: ComparableTimeMark? = null
    private var trials = 0
    private var triedAt: ComparableTimeMark? = null

    fun add(endpoint: RunnerId) {
        endpoints += endpoint
        if (endpoints.size > MAXIMUM_ENDPOINTS) endpoints.remove(endpoints.first())
    }

    /** When a request may be sent to find out whether endpoints still end by it; later with each trial. */
    fun timeOfTrial(rules: CrashRules): ComparableTimeMark {
        val pause = when {
            endpoints.size < rules.certainCrashes -> rules.doubtfulPause
            wasAnswered -> rules.answeredCertainPause
            else -> rules.certainPause
        }
        return maxOf(at, triedAt ?: at) + pause * (1 shl trials.coerceAtMost(MAXIMUM_DOUBLINGS))
    }

    fun recordTrial(now: ComparableTimeMark) {
        trials++
        triedAt = now
    }

    private companion object {
        /** More than are needed to be certain. */
        const val MAXIMUM_ENDPOINTS = 8
        const val MAXIMUM_DOUBLINGS = 7
    }
}
