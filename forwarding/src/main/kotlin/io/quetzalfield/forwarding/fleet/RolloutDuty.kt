package io.quetzalfield.forwarding.fleet

import arrow.core.Either
import arrow.core.getOrElse
import io.quetzalfield.decision.RolloutObservations
import io.quetzalfield.forwarding.DecisionLog
import io.quetzalfield.forwarding.UNREADABLE_RECORD
import io.quetzalfield.forwarding.choice.RolloutPhase
import io.quetzalfield.forwarding.choice.RolloutSchedule
import io.quetzalfield.forwarding.choice.RolloutStep
import io.quetzalfield.forwarding.choice.ScheduledStep
import io.quetzalfield.forwarding.decodeOrLog
import io.quetzalfield.model.ServiceId
import io.quetzalfield.model.VersionId
import io.quetzalfield.store.DutyLease
import io.quetzalfield.store.KeyValueStore
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.SwapResult
import kotlinx.serialization.Serializable
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Clock
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * The operator's order to roll out a version.
 *
 * @property ramp time within which it is to be completed.
 * @property revision the store's revision of the order.
 */
public data class RolloutOrder(
    val service: ServiceId,
    val target: VersionId,
    val ramp: Duration,
    val revision: StoreRevision,
) {
    /** Whether the operator has written this order in place of [earlier], after the store was restored. */
    internal fun isWrittenAgainFrom(earlier: RolloutOrder): Boolean =
        service == earlier.service && target == earlier.target && revision.era > earlier.revision.era
}

/** Reports the progress of roll-outs to the operator. */
public fun interface RolloutReports {
    /** Reports [phase] of [order]; `false` when the report may not have arrived. */
    public fun report(order: RolloutOrder, phase: RolloutPhase): Boolean
}

/**
 * The stored state of a roll-out.
 *
 * @property startedAt Unix milliseconds at which its first step was taken.
 * @property isReported whether the phase has been reported to the operator.
 */
@Serializable
public data class RolloutRecord(val step: RolloutStep, val startedAt: Long, val isReported: Boolean = false)

/**
 * Carries out roll-outs while this instance holds the duty. All instances follow the steps that it stores; a new holder
 * continues from the stored step.
 *
 * @param knownStep the latest step of a service that this instance knows, which a restored store may lack.
 * @param storeHolds stores the sessions that stay on the previous version; called before the first share applies.
 * @param memberCount number of instances, which have to confirm a step before the next one that needs current records.
 */
public class RolloutDuty(
    private val store: KeyValueStore,
    private val lease: DutyLease,
    private val reports: RolloutReports,
    private val schedule: RolloutSchedule = RolloutSchedule(),
    private val clock: Clock = Clock.System,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val requestsPerSecond: (ServiceId) -> Double = { 0.0 },
    private val knownStep: (ServiceId) -> RolloutStep? = { null },
    private val storeHolds: () -> Unit = {},
    memberCount: () -> Int = { 1 },
) {
    private val evidence = StoredEvidence(store, timeSource, memberCount)
    private val firstSeen = ConcurrentHashMap<RolloutOrder, ComparableTimeMark>()

    /** When this instance first saw the announcement of a first share, by the revision of the order. */
    private val announced = ConcurrentHashMap<StoreRevision, ComparableTimeMark>()

    /** Whether the last call of [work] found that a step waits for the instances to store what they observe. */
    @Volatile
    public var isAwaitingConfirmation: Boolean = false
        private set

    /**
     * Sets the orders in force, from any thread. The time of an order counts from the first call with it, also if it
     * has been written again since, after the store was restored.
     */
    public fun setOrders(orders: List<RolloutOrder>) {
        for (order in orders) {
            val earlier = firstSeen.filterKeys(order::isWrittenAgainFrom).values.minOrNull()
            firstSeen.putIfAbsent(order, earlier ?: timeSource.markNow())
        }
        firstSeen.keys.retainAll(orders.toSet())
        val revisions = orders.mapTo(HashSet()) { it.revision }
        announced.keys.retainAll(revisions)
        evidence.retain(revisions)
    }

    /** Takes the next step of each of [orders] while this instance holds the duty. */
    public fun work(orders: List<RolloutOrder>) {
        isAwaitingConfirmation = false
        if (lease.held == null) return
        for (order in orders) advance(order)
    }

    private fun advance(order: RolloutOrder) {
        val key = FleetKeys.step(order.service)
        val stored = store.read(key).getOrElse { return }
        val record = stored?.decodeOrLog(RolloutRecord.serializer(), UNREADABLE_RECORD)
        val current = record?.takeIf { it.step.orderRevision == order.revision }
        val revision = stored?.modified ?: StoreRevision.Absent
        when {
            current == null -> begin(order, key, revision, record)
            current.step.phase == RolloutPhase.RUNNING -> proceed(order, key, revision, current)
            !current.isReported -> report(order, key, revision, current)
        }
    }

    /** Writes the first record of [order], which continues the roll-out if the order has been written again. */
    private fun begin(order: RolloutOrder, key: String, revision: StoreRevision, earlier: RolloutRecord?) {
        val stored = earlier?.takeIf { it.step.belongsTo(order.target, order.revision) }
        val known = knownStep(order.service)?.takeIf { it.belongsTo(order.target, order.revision) }
        val step = listOfNotNull(known, stored?.step).maxByOrNull(RolloutStep::progress)
            ?.copy(orderRevision = order.revision)
            ?: RolloutStep(order.service, order.target, order.revision, RolloutPhase.RUNNING, share = 0.0)
        val record = RolloutRecord(step, stored?.startedAt ?: clock.now().toEpochMilliseconds())
        val written = write(key, revision, record) ?: return
        if (step.hasEnded) return report(order, key, written, record)
        // Reported first, as the next step may be the last one, with a report of its own.
        reports.report(order, RolloutPhase.RUNNING)
        proceed(order, key, written, record)
    }

    private fun proceed(order: RolloutOrder, key: String, revision: StoreRevision, current: RolloutRecord) {
        val known = evidence.collect(order, current.step) ?: return
        val scheduled = schedule.next(
            elapsed = elapsed(order, current),
            ramp = order.ramp,
            evidence = known,
            requestsPerSecond = requestsPerSecond(order.service),
            share = current.step.share,
        )
        if (scheduled is ScheduledStep.Confirm) isAwaitingConfirmation = true
        val next = stepOf(scheduled, order, current.step)
        if (next == current.step) return
        val step = next.copy(number = current.step.number + 1)
        DecisionLog.write(
            "rollout_step",
            "service" to order.service.value,
            "target" to order.target.value,
            "phase" to step.phase,
            "share" to step.share,
            "first_share" to step.firstShare,
            "number" to step.number,
            "reason" to (scheduled as? ScheduledStep.Revert)?.reason,
            "new" to known.new,
            "baseline" to known.baseline,
            "at_share" to known.atShare,
            "is_current" to known.isCurrent,
        )
        val record = current.copy(step = step)
        val written = write(key, revision, record) ?: return
        if (step.hasEnded) report(order, key, written, record)
    }

    private fun stepOf(scheduled: ScheduledStep, order: RolloutOrder, current: RolloutStep): RolloutStep =
        when (scheduled) {
            is ScheduledStep.FirstShare -> firstStep(order, current, scheduled.share)
            is ScheduledStep.Share -> current.copy(share = maxOf(scheduled.share, current.share))
            is ScheduledStep.Confirm -> confirmationStep(order, current)
            is ScheduledStep.Complete -> current.copy(share = 1.0, phase = RolloutPhase.COMPLETE)
            is ScheduledStep.Revert -> current.copy(share = 0.0, phase = RolloutPhase.REVERTED)
        }

    /** Announces the first share, and applies it once the instances have had time to exchange their sessions. */
    private fun firstStep(order: RolloutOrder, current: RolloutStep, share: Double): RolloutStep {
        if (current.share > 0) return current
        if (current.firstShare == 0.0) {
            announced[order.revision] = timeSource.markNow()
            return current.copy(firstShare = share)
        }
        val since = announced.getOrPut(order.revision) { timeSource.markNow() }
        val isPrepared = since.elapsedNow() >= schedule.preparation(order.ramp)
        if (!isPrepared) return current
        storeHolds()
        return current.copy(share = current.firstShare)
    }

    /** Writes a step that changes nothing else, if records that confirm the [current] one may be too old. */
    private fun confirmationStep(order: RolloutOrder, current: RolloutStep): RolloutStep =
        if (evidence.needsFurtherStep(order, current)) current.copy(number = current.number + 1) else current

    private fun report(order: RolloutOrder, key: String, revision: StoreRevision, record: RolloutRecord) {
        if (reports.report(order, record.step.phase)) write(key, revision, record.copy(isReported = true))
    }

    /** Time since the order: by the holder's own clock if it saw the order arrive, otherwise by the stored start. */
    private fun elapsed(order: RolloutOrder, current: RolloutRecord): Duration {
        val own = firstSeen[order]?.elapsedNow() ?: Duration.ZERO
        val stored = (clock.now().toEpochMilliseconds() - current.startedAt).milliseconds
        return maxOf(own, stored.coerceAtMost(own + LongestTakeover))
    }

    private fun write(key: String, expected: StoreRevision, record: RolloutRecord): StoreRevision? {
        if (lease.held == null) return null
        val json = PlatformJson.encodeToString(RolloutRecord.serializer(), record)
        val result = store.compareAndSwap(key, expected, json)
        return ((result as? Either.Right)?.value as? SwapResult.Swapped)?.stored
    }

    private companion object {
        /** Limits what a step of the system clock adds to the age of a roll-out. */
        val LongestTakeover = 10_000.milliseconds
    }
}
