package io.quetzalfield.forwarding.relay

import io.quetzalfield.forwarding.fleet.MemberRecord
import io.quetzalfield.model.Incarnation
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * An instance to ask for the store's keys.
 *
 * @property isSubstitute whether it is asked only because the own calls to the store fail. It may itself rely on this
 * instance, which must then say that it has lost the store, and goes on trying to read it.
 */
internal data class RelayTarget(val relay: MemberRecord, val isSubstitute: Boolean)

/**
 * Decides which instance is asked for the store's keys.
 *
 * Load pattern: the store turns a third of the instances away, relays among them, and their leases lapse; or many
 * instances end whose records stay in the list for a while. An instance that is turned away asks any member, one after
 * the other, and does not ask one soon again that has failed twice without an answer.
 */
internal class RelayPreference(
    private val own: MemberRecord,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private class Failure(val at: ComparableTimeMark, val count: Int)

    private val failures = HashMap<Incarnation, Failure>()
    private var regular: List<MemberRecord> = emptyList()
    private var substitutes: List<MemberRecord> = emptyList()
    private var wasListed = false

    /** Whether this instance was listed before, and is not now. */
    var isLapsed: Boolean = false
        private set

    /** Whether this instance is listed. */
    var isListed: Boolean = false
        private set

    /** Whether any other instance that could be asked is listed. */
    val hasOthers: Boolean get() = substitutes.isNotEmpty()

    /** Takes the [members] that are listed now. */
    fun update(members: Collection<ListedMember>) {
        val groups = RelayGroups(members)
        isListed = groups.groupOf(own.incarnation).isNotEmpty()
        val others = if (own.peerAddress == null) emptyList() else groups.substitutesFor(own)
        wasListed = wasListed || isListed
        // One whose lease has lapsed is not relied on, and may rely on any. One that starts is listed at once.
        regular = if (isListed || !wasListed) groups.relaysFor(own.incarnation) else others
        isLapsed = wasListed && !isListed
        substitutes = others
        val listed = members.mapTo(HashSet()) { it.record.incarnation }
        failures.keys.retainAll(listed)
    }

    /** Whether [incarnation] may be used as long as it is current. */
    fun isRegular(incarnation: Incarnation): Boolean = regular.any { it.incarnation == incarnation }

    /** Records that [incarnation] has failed as a relay; one that [hasAnswered], if only that it is behind, lives. */
    fun recordFailure(incarnation: Incarnation, hasAnswered: Boolean = false) {
        val before = failures[incarnation]?.count ?: 0
        failures[incarnation] = Failure(timeSource.markNow(), if (hasAnswered) 1 else before + 1)
    }

    /**
     * The instance to ask now; `null` if there is none.
     *
     * @param isReadingLost whether this instance tries to read the store itself and fails.
     */
    fun target(isReadingLost: Boolean): RelayTarget? = regular.firstOrNull(::isUsable)?.let { RelayTarget(it, false) }
        ?: substitutes.firstOrNull { isReadingLost && isUsable(it) }?.let { RelayTarget(it, true) }

    private fun isUsable(member: MemberRecord): Boolean {
        val failure = failures[member.incarnation] ?: return true
        return failure.at.elapsedNow() > if (failure.count == 1) FirstSuspension else LaterSuspension
    }

    internal companion object {
        /** Time for which an instance that failed as a relay is not asked. */
        val FirstSuspension: Duration = 4.seconds

        /** The same when it has failed again without an answer; longer than an instance that has ended stays listed. */
        val LaterSuspension: Duration = 30.seconds
    }
}
