package io.quetzalfield.forwarding.choice

import io.quetzalfield.model.ServiceId
import io.quetzalfield.model.SessionId
import io.quetzalfield.model.VersionId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * The active sessions of this instance, which have an open request or had one within [longestPause], and the version
 * that their last request was sent to. Used on the event loop only.
 *
 * @param longestPause time after the end of a request within which the next one belongs to the same session.
 */
public class ActiveSessions(
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val longestPause: Duration = LongestPause,
) {
    private data class Key(val service: ServiceId, val session: SessionId)

    private class SessionState(var version: VersionId, var openRequests: Int, var usedAt: ComparableTimeMark)

    private val states = HashMap<Key, SessionState>()
    private var lastPruned = timeSource.markNow()

    /** The number of sessions that are kept in memory. */
    public val size: Int get() = states.size

    /**
     * Records that a request of [session] is sent to [version]; [isRepeat] if the request was sent before.
     *
     * @return the version that the session was on, if it is active and that was another one; `null` otherwise.
     */
    public fun requestSent(service: ServiceId, session: SessionId, version: VersionId, isRepeat: Boolean): VersionId? {
        prune()
        val now = timeSource.markNow()
        val state = states.getOrPut(Key(service, session)) { SessionState(version, openRequests = 0, usedAt = now) }
        val before = state.version.takeIf { it != version && state.isActive(now) }
        state.version = version
        state.usedAt = now
        if (!isRepeat) state.openRequests++
        return before
    }

    /** Records that a request of [session] that was sent has its final answer. */
    public fun requestEnded(service: ServiceId, session: SessionId) {
        val state = states[Key(service, session)] ?: return
        state.openRequests--
        state.usedAt = timeSource.markNow()
    }

    /** Returns the active sessions of [service] that are on another version than [version]. */
    public fun activeOnOtherVersions(service: ServiceId, version: VersionId): List<SessionId> {
        val now = timeSource.markNow()
        return states
            .filter { (key, state) -> key.service == service && state.version != version && state.isActive(now) }
            .map { it.key.session }
    }

    private fun SessionState.isActive(now: ComparableTimeMark) = openRequests > 0 || now - usedAt <= longestPause

    private fun prune() {
        if (lastPruned.elapsedNow() < longestPause) return
        lastPruned = timeSource.markNow()
        states.values.removeIf { !it.isActive(lastPruned) }
    }

    public companion object {
        /** Longer than the pause that the users' deployments allow within a session. */
        public val LongestPause: Duration = 10.seconds
    }
}
