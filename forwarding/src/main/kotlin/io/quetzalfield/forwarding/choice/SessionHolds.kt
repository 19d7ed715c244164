package io.quetzalfield.forwarding.choice

import io.quetzalfield.forwarding.DecisionLog
import io.quetzalfield.model.ServiceId
import io.quetzalfield.store.StoreRevision
import kotlinx.serialization.Serializable

/**
 * Sessions that stay on the previous version, by their hashes.
 *
 * @property orderRevision the store's revision of the order of the roll-out.
 */
@Serializable
public data class HeldSessions(val service: ServiceId, val orderRevision: StoreRevision, val sessions: List<Long>)

/**
 * The sessions that are active when the first share of a roll-out takes effect, and stay on the previous version until
 * the share grows. Used on the event loop only.
 *
 * Load pattern: a session continues at any instance, and an instance knows only the sessions that it serves itself. The
 * first share is therefore announced some time before it takes effect, and meanwhile each instance reports to the
 * others which sessions in this share it has sent to the previous version. Their number is bounded by the traffic of
 * the first share, whatever the number of instances. Instances may be restarted in turn while the share applies, until
 * none is left that has heard the others; the sessions are therefore also stored.
 */
public class SessionHolds {
    private class Holds(val orderRevision: StoreRevision) {
        val local = LinkedHashSet<Long>()
        val remote = LinkedHashSet<Long>()
        val stored = HashSet<Long>()

        /** The same sessions for the order at [revision]; a restored store may have lost those that were stored. */
        fun continuedAt(revision: StoreRevision) = Holds(revision).also {
            it.local += local
            it.remote += remote
            it.remote += stored
        }
    }

    private val holds = HashMap<ServiceId, Holds>()

    /** Called with each session that this instance starts to hold and that no other instance has reported. */
    public var onHeld: (HeldSessions) -> Unit = {}

    /** The sessions that this instance itself holds. */
    public val local: List<HeldSessions>
        get() = holds.filterValues { it.local.isNotEmpty() }
            .map { (service, held) -> HeldSessions(service, held.orderRevision, held.local.toList()) }

    /** The sessions that this instance itself holds and that are not stored. */
    public val localNotStored: List<HeldSessions> get() = notStored { it.local }

    /** All held sessions that are known and not stored. */
    public val knownNotStored: List<HeldSessions> get() = notStored { it.local + it.remote }

    private fun notStored(select: (Holds) -> Set<Long>): List<HeldSessions> = holds
        .map { (service, held) -> HeldSessions(service, held.orderRevision, (select(held) - held.stored).toList()) }
        .filter { it.sessions.isNotEmpty() }

    /** Holds [session], for which a request has been sent. */
    public fun hold(service: ServiceId, orderRevision: StoreRevision, session: Long) {
        val held = holdsOf(service, orderRevision) ?: return
        if (session in held.remote || held.local.size >= MAXIMUM_HELD || !held.local.add(session)) return
        if (held.local.size == MAXIMUM_HELD) DecisionLog.write("session_holds_full", "service" to service.value)
        onHeld(HeldSessions(service, orderRevision, listOf(session)))
    }

    /** Adds the sessions that another instance holds. */
    public fun addRemote(sessions: HeldSessions) {
        val held = holdsOf(sessions.service, sessions.orderRevision) ?: return
        for (session in sessions.sessions) if (held.remote.size < MAXIMUM_HELD) held.remote += session
    }

    /** Adds the sessions that are stored, by whichever instance. */
    public fun addStored(sessions: HeldSessions) {
        val held = holdsOf(sessions.service, sessions.orderRevision) ?: return
        held.stored += sessions.sessions.take(MAXIMUM_STORED)
    }

    /** Whether [session] stays on the previous version. */
    public fun isHeld(service: ServiceId, orderRevision: StoreRevision, session: Long): Boolean {
        val held = holds[service]?.takeIf { it.orderRevision == orderRevision } ?: return false
        return session in held.local || session in held.remote || session in held.stored
    }

    /** Keeps the sessions of [service] for its order, which after the store was restored is at [orderRevision]. */
    internal fun continueAt(service: ServiceId, orderRevision: StoreRevision) {
        if (service in holds) holdsOf(service, orderRevision)
    }

    /** Releases the sessions of [service]; called when its roll-out is not at the first share. */
    public fun release(service: ServiceId) {
        holds.remove(service)
    }

    private fun holdsOf(service: ServiceId, orderRevision: StoreRevision): Holds? {
        val known = holds[service]
        if (known != null && known.orderRevision > orderRevision) return null
        if (known?.orderRevision == orderRevision) return known
        val isSameOrder = known != null && known.orderRevision.era < orderRevision.era
        val continued = if (known != null && isSameOrder) known.continuedAt(orderRevision) else Holds(orderRevision)
        return continued.also { holds[service] = it }
    }

    public companion object {
        /** Sessions kept for one service: several times those that a first share admits in the first half. */
        private const val MAXIMUM_HELD = 4_096

        /** Sessions stored for one service; about 20 bytes each, well below the largest value of a store. */
        public const val MAXIMUM_STORED: Int = 2 * MAXIMUM_HELD
    }
}
