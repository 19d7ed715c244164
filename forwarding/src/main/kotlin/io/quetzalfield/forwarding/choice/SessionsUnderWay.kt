package io.quetzalfield.forwarding.choice

import io.quetzalfield.model.ServiceId
import io.quetzalfield.model.SessionId
import io.quetzalfield.model.VersionId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * The sessions of which this instance has a request, or had one within [longestPause], and the version that their last
 * request went to. Used on the event loop only.
 *
 * @param longestPause time after the end of a request within which the next one belongs to the same session.
 */
public class SessionsUnderWay(
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val longestPause: Duration = LongestPause,
) {
    private data class Key(val service: ServiceId, val session: SessionId)

    private class Use(var version: VersionId, var openRequests: Int, var usedAt: ComparableTimeMark)

    private val uses = HashMap<Key, Use>()
    private var lastPruned = timeSource.markNow()

    /** The number of sessions that are kept in memory. */
    public val size: Int get() = uses.size

    /**
     * Notes that a request of [session] is sent to [version]; [isRepeat] when it was sent before.
     *
     * @return the version that the session was on, if it is under way on another one.
     */
    public fun sent(service: ServiceId, session: SessionId, version: VersionId, isRepeat: Boolean): VersionId? {
        prune()
        val now = timeSource.markNow()
        val use = uses.getOrPut(Key(service, session)) { Use(version, openRequests = 0, usedAt = now) }
        val before = use.version.takeIf { it != version && use.isUnderWay(now) }
        use.version = version
        use.usedAt = now
        if (!isRepeat) use.openRequests++
        return before
    }

    /** Notes that a request of [session] that was sent has its final answer. */
    public fun ended(service: ServiceId, session: SessionId) {
        val use = uses[Key(service, session)] ?: return
        use.openRequests--
        use.usedAt = timeSource.markNow()
    }

    /** The sessions of [service] that are under way on another version than [version]. */
    public fun notOn(service: ServiceId, version: VersionId): List<SessionId> {
        val now = timeSource.markNow()
        return uses.filter { (key, use) -> key.service == service && use.version != version && use.isUnderWay(now) }
            .map { it.key.session }
    }

    private fun Use.isUnderWay(now: ComparableTimeMark) = openRequests > 0 || now - usedAt <= longestPause

    private fun prune() {
        if (lastPruned.elapsedNow() < longestPause) return
        lastPruned = timeSource.markNow()
        uses.values.removeIf { !it.isUnderWay(lastPruned) }
    }

    public companion object {
        /** Above the pause that the users' deployments allow within a session. */
        public val LongestPause: Duration = 10.seconds
    }
}
