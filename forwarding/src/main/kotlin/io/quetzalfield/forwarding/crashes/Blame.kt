package io.quetzalfield.forwarding.crashes

import io.quetzalfield.model.RunnerId
import kotlin.time.ComparableTimeMark

/**
 * The refusal of requests with one suspect.
 *
 * @property at when the last endpoint ended by it.
 * @property isOwn whether this instance has decided it.
 * @property wasAnswered whether requests with the suspect were answered before, at any instance.
 */
internal class Blame(var at: ComparableTimeMark, val isOwn: Boolean, var wasAnswered: Boolean) {
    /** The starts of endpoints that it made end, or the last of them. */
    val endpoints = LinkedHashSet<RunnerId>()

    /** When a request was refused last. */
    var refusedAt: ComparableTimeMark? = null

    /** Trials of all instances, as far as they are known, and the time of the last one. */
    var trials = 0
        private set
    var triedAt: ComparableTimeMark? = null
        private set

    fun add(endpoint: RunnerId) {
        endpoints += endpoint
        if (endpoints.size > MAXIMUM_ENDPOINTS) endpoints.remove(endpoints.first())
    }

    /**
     * When a request may be sent to find out whether endpoints still end by it: later with each trial and with the
     * [rank] of the instance, so that others try only if those before them get no such request or are cut off.
     */
    fun timeOfTrial(suspect: CrashSuspect, rules: CrashRules, rank: Int = 0): ComparableTimeMark {
        val certain = if (suspect.isPart) rules.certainCrashes else rules.certainRequestCrashes
        val pause = when {
            endpoints.size < certain -> rules.doubtfulPause
            wasAnswered -> rules.answeredCertainPause
            else -> rules.certainPause
        }
        return maxOf(at, triedAt ?: at) + pause * (1 shl trials.coerceAtMost(MAXIMUM_DOUBLINGS)) * (1 + rank)
    }

    fun recordTrial(now: ComparableTimeMark) {
        trials++
        triedAt = now
    }

    /** Adds trials that others have made. Reports of those that are known come again with each delay added. */
    fun learnTrials(count: Int, lastAt: ComparableTimeMark) {
        if (count <= trials) return
        trials = count
        triedAt = lastAt
    }

    private companion object {
        /** More than are needed to be certain. */
        const val MAXIMUM_ENDPOINTS = 8
        const val MAXIMUM_DOUBLINGS = 7
    }
}
