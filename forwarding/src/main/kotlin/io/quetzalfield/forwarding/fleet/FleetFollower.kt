package io.quetzalfield.forwarding.fleet

import io.quetzalfield.forwarding.DecisionLog
import io.quetzalfield.forwarding.StorePartLog
import io.quetzalfield.forwarding.UNREADABLE_RECORD
import io.quetzalfield.forwarding.choice.HeldSessions
import io.quetzalfield.forwarding.choice.SessionHolds
import io.quetzalfield.forwarding.crashes.BlameReport
import io.quetzalfield.forwarding.crashes.CrashNews
import io.quetzalfield.forwarding.decodeOrLog
import io.quetzalfield.forwarding.http.RoutingContext
import io.quetzalfield.store.StoreChange
import io.quetzalfield.store.StoreFollower
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.StoredValue

/**
 * Applies the fleet's keys in the store to the state of the event loop.
 *
 * @param onStep called on the event loop after a step of a roll-out has been applied.
 * @param onReported receives the revision of each order whose end has been reported to the operator.
 */
internal class FleetFollower(
    private val context: RoutingContext,
    private val members: Members,
    private val holds: SessionHolds,
    private val onStep: () -> Unit,
    private val onReported: (StoreRevision) -> Unit,
) : StoreFollower {
    private val eventLoop get() = context.eventLoop
    private val partLog = StorePartLog("fleet")

    override fun onState(values: List<StoredValue>, revision: StoreRevision) {
        val (records, others) = values.partition { it.key.startsWith(FleetKeys.MEMBERS) }
        eventLoop.execute { members.replace(records) }
        others.forEach(::applyValue)
        eventLoop.execute { context.isFleetKnown = true }
    }

    override fun onChange(change: StoreChange) {
        if (change.key.startsWith(FleetKeys.MEMBERS)) {
            eventLoop.execute { members.update(change) }
        } else {
            change.value?.let(::applyValue)
        }
    }

    override fun onUnavailable(reason: String) = partLog.onLost(reason)

    override fun onAvailable() = partLog.onRegained()

    private fun applyValue(value: StoredValue) {
        when {
            value.key.startsWith(FleetKeys.CRASHES) -> applyBlame(value)
            value.key.startsWith(FleetKeys.HOLDS) -> applyHolds(value)
            else -> applyStep(value)
        }
    }

    private fun applyHolds(value: StoredValue) {
        val held = value.decodeOrLog(HeldSessions.serializer(), UNREADABLE_RECORD) ?: return
        eventLoop.execute { holds.addStored(held) }
    }

    private fun applyBlame(value: StoredValue) {
        val report = value.decodeOrLog(BlameReport.serializer(), UNREADABLE_RECORD) ?: return
        eventLoop.execute { context.crashes.learn(CrashNews(blames = listOf(report)), sender = "store") }
    }

    private fun applyStep(value: StoredValue) {
        val record = value.decodeOrLog(RolloutRecord.serializer(), UNREADABLE_RECORD) ?: return
        if (record.isReported) onReported(record.step.orderRevision)
        eventLoop.execute {
            if (context.versions.applyStep(record.step)) {
                context.observer.recordShare(record.step.service, record.step.share)
                DecisionLog.write("rollout_step_taken", "step" to record.step, "revision" to value.modified.value)
                onStep()
            }
        }
    }
}
