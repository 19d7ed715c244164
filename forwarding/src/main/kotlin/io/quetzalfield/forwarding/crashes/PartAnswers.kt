package io.quetzalfield.forwarding.crashes

import kotlin.time.ComparableTimeMark

/** When requests with which parts of prompts were answered last, here and as far as all instances know. */
internal class PartAnswers {
    private val answered = RecentMap<String, ComparableTimeMark>(MAXIMUM_ANSWERED)
    private val shared = RecentMap<String, ComparableTimeMark>(MAXIMUM_ANSWERED)

    fun answeredAt(part: String): ComparableTimeMark? = answered[part]

    fun wasAnswered(part: String): Boolean = part in answered

    fun record(part: String, startedAt: ComparableTimeMark) = answered.raise(part, startedAt)

    /** Records that all instances know of an answer that began at [startedAt]. */
    fun recordShared(part: String, startedAt: ComparableTimeMark) = shared.raise(part, startedAt)

    /** Returns the last answer with [part] if it may clear it of a loss at [lostAt] and the others know of none. */
    fun newsAbout(part: String, lostAt: ComparableTimeMark): ComparableTimeMark? {
        val answeredAt = answered[part] ?: return null
        val sharedAt = shared[part] ?: return answeredAt
        return answeredAt.takeIf { sharedAt < lostAt && it > sharedAt }
    }

    companion object {
        /** Parts that are in use at a time; about 150 bytes each. */
        const val MAXIMUM_ANSWERED = 4_096
    }
}
