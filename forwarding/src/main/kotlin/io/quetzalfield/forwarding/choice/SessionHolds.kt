package io.quetzalfield.forwarding.choice

import io.quetzalfield.forwarding.DecisionLog
import io.quetzalfield.model.ServiceId
import kotlinx.serialization.Serializable

/**
 * Sessions that stay on the version before, by their hashes.
 *
 * @property orderRevision the store's revision of the order of the roll-out.
 */
@Serializable
public data class HeldSessions(val service: ServiceId, val orderRevision: Long, val sessions: List<Long>)

/**
 * The sessions that are under way as the first share of a roll-out is given, and stay on the version before until the
 * share grows. Used on the event loop only.
 *
 * Load pattern: a session goes on at any instance, and an instance knows only what it serves itself. The first share is
 * therefore announced some time before it is given, and meanwhile each instance tells the others which sessions in it
 * have been sent to the version before. Their number is bounded by the traffic of the first share, whatever the number
 * of instances.
 */
public class SessionHolds {
    private class Holds(val orderRevision: Long) {
        val own = LinkedHashSet<Long>()
        val told = HashSet<Long>()
    }

    private val holds = HashMap<ServiceId, Holds>()

    /** Told of each session that this instance holds and no other one has told of. */
    public var onHeld: (HeldSessions) -> Unit = {}

    /** What this instance holds itself. */
    public val own: List<HeldSessions>
        get() = holds.filterValues { it.own.isNotEmpty() }
            .map { (service, held) -> HeldSessions(service, held.orderRevision, held.own.toList()) }

    /** Holds [session], which a request has been sent for. */
    public fun hold(service: ServiceId, orderRevision: Long, session: Long) {
        val held = holdsOf(service, orderRevision) ?: return
        if (session in held.told || held.own.size >= MOST_HELD || !held.own.add(session)) return
        if (held.own.size == MOST_HELD) DecisionLog.write("session_holds_full", "service" to service.value)
        onHeld(HeldSessions(service, orderRevision, listOf(session)))
    }

    /** Takes what another instance holds. */
    public fun take(sessions: HeldSessions) {
        val held = holdsOf(sessions.service, sessions.orderRevision) ?: return
        for (session in sessions.sessions) if (held.told.size < MOST_HELD) held.told += session
    }

    /** Whether [session] stays on the version before. */
    public fun isHeld(service: ServiceId, orderRevision: Long, session: Long): Boolean {
        val held = holds[service]?.takeIf { it.orderRevision == orderRevision } ?: return false
        return session in held.own || session in held.told
    }

    /** Forgets the sessions of [service]: its roll-out is past the first share. */
    public fun release(service: ServiceId) {
        holds.remove(service)
    }

    private fun holdsOf(service: ServiceId, orderRevision: Long): Holds? {
        val known = holds[service]
        if (known != null && known.orderRevision > orderRevision) return null
        if (known?.orderRevision == orderRevision) return known
        return Holds(orderRevision).also { holds[service] = it }
    }

    private companion object {
        /** Sessions of one service that are kept; several times what the first share lets through in a first half. */
        const val MOST_HELD = 4_096
    }
}
