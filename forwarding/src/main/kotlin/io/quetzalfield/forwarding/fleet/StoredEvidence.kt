package io.quetzalfield.forwarding.fleet

import arrow.core.getOrElse
import io.quetzalfield.decision.RolloutObservations
import io.quetzalfield.forwarding.UNREADABLE_RECORD
import io.quetzalfield.forwarding.choice.RolloutEvidence
import io.quetzalfield.forwarding.choice.RolloutStep
import io.quetzalfield.forwarding.decodeOrLog
import io.quetzalfield.model.VersionId
import io.quetzalfield.store.KeyValueStore
import io.quetzalfield.store.StoreRevision
import kotlinx.serialization.Serializable
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** A step that an instance has applied: the [number] of the step of the order at revision [order]. */
@Serializable
public data class AppliedStep(val order: StoreRevision, val number: Int)

/**
 * Observations of the versions of a service by one instance.
 *
 * @property atShare observations of the target of a running roll-out since its current share took effect.
 * @property appliedStep the latest step of the roll-out that the instance had applied when it made this record.
 */
@Serializable
public data class ObservationRecord(
    val answers: Map<VersionId, Counts>,
    val atShare: Counts = Counts(0, 0, 0),
    val appliedStep: AppliedStep? = null,
) {
    /** Totals for one version. */
    @Serializable
    public data class Counts(val answers: Long, val errors: Long, val slow: Long, val timed: Long = 0) {
        internal fun toObservations() =
            RolloutObservations(answers = answers, errors = errors, slow = slow, timed = timed)

        internal companion object {
            fun of(seen: RolloutObservations) = Counts(seen.answers, seen.errors, seen.slow, seen.timed)
        }
    }
}

/**
 * Collects what the instances have stored of the versions of a service, and decides whether it is current.
 *
 * Load pattern: while the store is unavailable to some or all instances, records keep their last content, and nothing
 * in them shows that requests have been answered since. Records are therefore current only once the instances have
 * confirmed, with a record, a step that was written after the last interruption.
 *
 * @param memberCount number of instances that are to confirm a step.
 */
internal class StoredEvidence(
    private val store: KeyValueStore,
    private val timeSource: TimeSource.WithComparableMarks,
    private val memberCount: () -> Int,
) {
    /** The holder's contact with the store for one order, which begins as if after an interruption. */
    private class Contact(var lastAt: ComparableTimeMark, var step: Int) {
        /** The latest step at the last interruption; records that confirm it may be older than that. */
        var interruptedStep = step
        var stepSince = lastAt
    }

    private val contacts = ConcurrentHashMap<StoreRevision, Contact>()

    /** Drops what is known of all orders but those at [revisions]. */
    fun retain(revisions: Set<StoreRevision>) {
        contacts.keys.retainAll(revisions)
    }

    /** Returns what is known for the step after [step] of [order]; `null` if the store can not be read. */
    fun collect(order: RolloutOrder, step: RolloutStep): RolloutEvidence? {
        val values = store.list("${FleetKeys.OBSERVATIONS}${order.service.value}/").getOrElse { return null }
        val records = values.mapNotNull { it.decodeOrLog(ObservationRecord.serializer(), UNREADABLE_RECORD) }
        val applied = AppliedStep(order.revision, step.number)
        val confirming = records.filter { it.appliedStep == applied }
        val contact = contactOf(order, step)
        return RolloutEvidence(
            new = records.totalOf { it == order.target },
            baseline = records.totalOf { it != order.target },
            atShare = confirming.map { it.atShare.toObservations() }.total(),
            isCurrent = isCurrent(contact, confirming.size, records.size),
            stepAge = contact.stepSince.elapsedNow(),
        )
    }

    /** Whether only a further step of [order] after [step] can be confirmed by current records. */
    fun needsFurtherStep(order: RolloutOrder, step: RolloutStep): Boolean =
        contacts[order.revision]?.let { step.number <= it.interruptedStep } ?: true

    private fun contactOf(order: RolloutOrder, step: RolloutStep): Contact {
        val now = timeSource.markNow()
        val contact = contacts.getOrPut(order.revision) { Contact(now, step.number) }
        if (now - contact.lastAt > LongestPause) contact.interruptedStep = step.number
        contact.lastAt = now
        if (contact.step != step.number) {
            contact.step = step.number
            contact.stepSince = now
        }
        return contact
    }

    private fun isCurrent(contact: Contact, confirming: Int, stored: Int): Boolean {
        if (contact.step <= contact.interruptedStep) return false
        val expected = maxOf(memberCount(), stored)
        val hasWaited = contact.stepSince.elapsedNow() >= ConfirmationWait
        return confirming >= expected || (hasWaited && confirming * 2 >= expected)
    }

    private fun List<ObservationRecord>.totalOf(isCounted: (VersionId) -> Boolean): RolloutObservations =
        flatMap { it.answers.entries }.filter { isCounted(it.key) }.map { it.value.toObservations() }.total()

    private fun List<RolloutObservations>.total() = fold(RolloutObservations(), RolloutObservations::plus)

    private companion object {
        /** Three periods of the duty. A longer pause means that the store or this instance was unavailable. */
        val LongestPause: Duration = 2_500.milliseconds

        /** Two periods of the records; an instance that has not confirmed by then may be cut off or have ended. */
        val ConfirmationWait: Duration = 2.seconds
    }
}
