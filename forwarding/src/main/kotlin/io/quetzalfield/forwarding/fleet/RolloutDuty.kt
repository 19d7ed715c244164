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
 * @property ramp time within which it shall be done.
 * @property revision the store's revision of the order.
 */
public data class RolloutOrder(
    val service: ServiceId,
    val target: VersionId,
    val ramp: Duration,
    val revision: StoreRevision,
)

/** Tells the operator where a roll-out stands. */
public fun interface RolloutReports {
    /** Reports [phase] of [order]; `false` when the report may not have arrived. */
    public fun report(order: RolloutOrder, phase: RolloutPhase): Boolean
}

/** What one instance has seen of the versions of a service. */
@Serializable
public data class ObservationRecord(val answers: Map<VersionId, Counts>) {
    /** Sums of one version. */
    @Serializable
    public data class Counts(val answers: Long, val errors: Long, val slow: Long, val timed: Long = 0) {
        internal fun toObservations() =
            RolloutObservations(answers = answers, errors = errors, slow = slow, timed = timed)
    }
}

/**
 * The stored state of a roll-out.
 *
 * @property startedAt Unix milliseconds at which its first step was taken.
 * @property isReported whether the operator has been told of the phase.
 */
@Serializable
public data class RolloutRecord(val step: RolloutStep, val startedAt: Long, val isReported: Boolean = false)

/**
 * Carries roll-outs through while this instance holds the duty. All instances follow the steps it stores; a new holder
 * goes on from the stored step.
 */
public class RolloutDuty(
    private val store: KeyValueStore,
    private val lease: DutyLease,
    private val reports: RolloutReports,
    private val schedule: RolloutSchedule = RolloutSchedule(),
    private val clock: Clock = Clock.System,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val requestsPerSecond: (ServiceId) -> Double = { 0.0 },
) {
    private val firstSeen = ConcurrentHashMap<StoreRevision, ComparableTimeMark>()

    /** When this instance first saw the announcement of a first share, by the revision of the order. */
    private val announced = ConcurrentHashMap<StoreRevision, ComparableTimeMark>()

    /** Notes that [orders] stand, from any thread: their time counts from the first call. */
    public fun noteOrders(orders: List<RolloutOrder>) {
        val standing = orders.mapTo(HashSet()) { it.revision }
        firstSeen.keys.retainAll(standing)
        announced.keys.retainAll(standing)
        orders.forEach { firstSeen.putIfAbsent(it.revision, timeSource.markNow()) }
    }

    /** Takes the next step of each of [orders] while this instance holds the duty. */
    public fun work(orders: List<RolloutOrder>) {
        if (lease.held == null) return
        for (order in orders) advance(order)
    }

    private fun advance(order: RolloutOrder) {
        val key = FleetKeys.step(order.service)
        val stored = store.read(key).getOrElse { return }
        val record = stored?.decodeOrLog(RolloutRecord.serializer(), UNREADABLE_RECORD)
        val standing = record?.takeIf { it.step.orderRevision == order.revision.value }
        val revision = stored?.modified ?: StoreRevision.Absent
        when {
            standing == null -> begin(order, key, revision)
            standing.step.phase == RolloutPhase.RUNNING -> proceed(order, key, revision, standing)
            !standing.isReported -> report(order, key, revision, standing)
        }
    }

    private fun begin(order: RolloutOrder, key: String, revision: StoreRevision) {
        val step = RolloutStep(order.service, order.target, order.revision.value, RolloutPhase.RUNNING, share = 0.0)
        val record = RolloutRecord(step, clock.now().toEpochMilliseconds())
        val written = write(key, revision, record) ?: return
        // First, as the next step may be the last one, with a report of its own.
        reports.report(order, RolloutPhase.RUNNING)
        proceed(order, key, written, record)
    }

    private fun proceed(order: RolloutOrder, key: String, revision: StoreRevision, standing: RolloutRecord) {
        val seen = observationsOf(order.service) ?: return
        val new = seen[order.target] ?: RolloutObservations()
        val others = seen.filterKeys { it != order.target }.values
        val baseline = others.fold(RolloutObservations(), RolloutObservations::plus)
        val scheduled = schedule.next(
            elapsed = elapsed(order, standing),
            ramp = order.ramp,
            new = new,
            baseline = baseline,
            requestsPerSecond = requestsPerSecond(order.service),
            share = standing.step.share,
        )
        val step = when (scheduled) {
            is ScheduledStep.FirstShare -> firstStep(order, standing.step, scheduled.share)
            is ScheduledStep.Share -> standing.step.copy(share = maxOf(scheduled.share, standing.step.share))
            is ScheduledStep.Complete -> standing.step.copy(share = 1.0, phase = RolloutPhase.COMPLETE)
            is ScheduledStep.Revert -> standing.step.copy(share = 0.0, phase = RolloutPhase.REVERTED)
        }
        if (step == standing.step) return
        DecisionLog.write(
            "rollout_step",
            "service" to order.service.value,
            "target" to order.target.value,
            "phase" to step.phase,
            "share" to step.share,
            "first_share" to step.firstShare,
            "reason" to (scheduled as? ScheduledStep.Revert)?.reason,
            "new" to new,
            "baseline" to baseline,
        )
        val record = standing.copy(step = step)
        val written = write(key, revision, record) ?: return
        if (step.phase != RolloutPhase.RUNNING) report(order, key, written, record)
    }

    /** Announces the first share, and gives it once the instances have had time to tell of their sessions. */
    private fun firstStep(order: RolloutOrder, standing: RolloutStep, share: Double): RolloutStep {
        if (standing.share > 0) return standing
        if (standing.firstShare == 0.0) {
            announced[order.revision] = timeSource.markNow()
            return standing.copy(firstShare = share)
        }
        val since = announced.getOrPut(order.revision) { timeSource.markNow() }
        val isPrepared = since.elapsedNow() >= schedule.preparation(order.ramp)
        return if (isPrepared) standing.copy(share = standing.firstShare) else standing
    }

    private fun report(order: RolloutOrder, key: String, revision: StoreRevision, record: RolloutRecord) {
        if (reports.report(order, record.step.phase)) write(key, revision, record.copy(isReported = true))
    }

    /** Time since the order, by the holder's own clock where it saw the order come, else by the stored start. */
    private fun elapsed(order: RolloutOrder, standing: RolloutRecord): Duration {
        val own = firstSeen[order.revision]?.elapsedNow() ?: Duration.ZERO
        val stored = (clock.now().toEpochMilliseconds() - standing.startedAt).milliseconds
        return maxOf(own, stored.coerceAtMost(own + LongestTakeover))
    }

    private fun observationsOf(service: ServiceId): Map<VersionId, RolloutObservations>? {
        val values = store.list("${FleetKeys.OBSERVATIONS}${service.value}/").getOrElse { return null }
        val records = values.mapNotNull { it.decodeOrLog(ObservationRecord.serializer(), UNREADABLE_RECORD) }
        return records.flatMap { it.answers.entries }.groupBy({ it.key }, { it.value }).mapValues { (_, counts) ->
            counts.map(ObservationRecord.Counts::toObservations).reduce(RolloutObservations::plus)
        }
    }

    private fun write(key: String, expected: StoreRevision, record: RolloutRecord): StoreRevision? {
        if (lease.held == null) return null
        val json = PlatformJson.encodeToString(RolloutRecord.serializer(), record)
        val result = store.compareAndSwap(key, expected, json)
        return ((result as? Either.Right)?.value as? SwapResult.Swapped)?.stored
    }

    private companion object {
        /** Bounds what a step of the time of day adds to the age of a roll-out. */
        val LongestTakeover = 10_000.milliseconds
    }
}
