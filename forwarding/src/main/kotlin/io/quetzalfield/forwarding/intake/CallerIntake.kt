package io.quetzalfield.forwarding.intake

import io.netty.channel.EventLoop
import io.netty.util.concurrent.ScheduledFuture
import io.netty.util.internal.PlatformDependent
import io.quetzalfield.forwarding.DecisionLog
import io.quetzalfield.forwarding.RouterMetrics
import io.quetzalfield.forwarding.schedule
import kotlin.time.Duration.Companion.milliseconds

/** A connection that [CallerIntake] reads, pauses, refuses or closes. */
internal interface IntakeClient {
    /** Whether a request of this connection is being answered, so that it is not closed for another one. */
    val isAnswering: Boolean

    /** Bytes of answers that the caller has still to read. */
    val unreadBytes: Long

    /** The memory for which the connection waited is held for it. */
    fun onMemoryGranted()

    /** The request that is being read is to be refused as not run. */
    fun onMemoryRefused(reason: IntakeRefusal)

    /** The connection is to be closed at once. */
    fun closeForMemory()
}

/** Why a caller was refused, or its connection closed, for the sake of the others. */
public enum class IntakeRefusal { BODY, STALLED_BODY, FIELDS, UNREAD, SLOW_READER, CONNECTIONS }

/** Carries out the decisions of an [IntakeBudget] on the event loop, with log lines when pressure begins and ends. */
public class CallerIntake(
    private val eventLoop: EventLoop,
    private val metrics: RouterMetrics,
    public val budget: IntakeBudget,
) {
    /** The connections, those first whose last request is longest ago. */
    private val clients = LinkedHashMap<IntakeShare, IntakeClient>()
    private var timer: ScheduledFuture<*>? = null
    private var isUnderPressure = false
    private var refusedInPressure = 0
    private var pressureEnd: ScheduledFuture<*>? = null

    /** Registers [client]; closes the one without a request whose last one is longest ago if there are too many. */
    internal fun open(client: IntakeClient): IntakeShare {
        if (!budget.hasRoomForConnection) {
            countRefusal(IntakeRefusal.CONNECTIONS)
            closeIdle() ?: client.closeForMemory()
        }
        val share = budget.open()
        clients[share] = client
        report()
        return share
    }

    /** Closes the connection without a request; it is forgotten at once, so that no other one closes it again. */
    private fun closeIdle(): Unit? {
        val (share, idle) = clients.entries.firstOrNull { !it.value.isAnswering } ?: return null
        close(share)
        idle.closeForMemory()
        return Unit
    }

    internal fun close(share: IntakeShare) {
        clients -= share
        budget.close(share)
        onReleased()
    }

    /** Releases what the connection of [share] held for its request, which has its answer. */
    internal fun endRequest(share: IntakeShare) {
        budget.endRequest(share)
        clients.remove(share)?.let { clients[share] = it }
        onReleased()
    }

    /** Holds [bytes] for the body of [share] and returns `true`; else the connection waits for them. */
    internal fun holdOrAwait(share: IntakeShare, bytes: Long): Boolean {
        if (budget.tryHoldBody(share, bytes)) return true
        budget.await(share, bytes)
        metrics.intake.countPause()
        beginPressure()
        startTimer()
        return false
    }

    /** Holds the memory of a header field, or throws [FieldsRefused]. */
    internal fun holdField(share: IntakeShare, bytes: Int) {
        if (budget.tryHoldField(share, bytes)) return
        throw FieldsRefused()
    }

    /** Records what the caller of [share] has not read or has sent ahead, in bytes. */
    internal fun setPending(share: IntakeShare, bytes: Long) {
        clients[share]?.let { budget.recordUnread(share, it.unreadBytes) }
        if (bytes == share.pendingBytes) return
        val isRelease = bytes < share.pendingBytes
        budget.setPending(share, bytes).forEach { closeReader(it, IntakeRefusal.UNREAD) }
        if (isRelease) onReleased()
    }

    /** Counts a caller that was refused for [reason]. */
    internal fun countRefusal(reason: IntakeRefusal) {
        metrics.intake.countRefusal(reason)
        refusedInPressure++
        beginPressure()
    }

    private fun onReleased() {
        report()
        if (budget.waitingCount > 0) eventLoop.execute(::settle)
    }

    private fun startTimer() {
        if (timer == null) timer = eventLoop.schedule(SettlePeriod, ::onTimer)
    }

    private fun onTimer() {
        timer = null
        settle()
        if (budget.waitingCount > 0) startTimer()
    }

    private fun settle() {
        for ((share, client) in clients) if (share.pendingBytes > 0) budget.recordUnread(share, client.unreadBytes)
        val settled = budget.settle()
        settled.slowReaders.forEach { closeReader(it, IntakeRefusal.SLOW_READER) }
        settled.unread.forEach { closeReader(it, IntakeRefusal.UNREAD) }
        settled.stalled.forEach { refuse(it, IntakeRefusal.STALLED_BODY) }
        settled.refused.forEach { refuse(it, IntakeRefusal.BODY) }
        settled.resumed.forEach { clients[it]?.onMemoryGranted() }
        report()
    }

    private fun closeReader(share: IntakeShare, reason: IntakeRefusal) {
        countRefusal(reason)
        clients[share]?.closeForMemory()
    }

    private fun refuse(share: IntakeShare, reason: IntakeRefusal) {
        clients[share]?.onMemoryRefused(reason)
    }

    private fun report() = metrics.intake.setHeld(budget.heldBytes, budget.heldFieldBytes, budget.connectionCount)

    /** Writes one line at the begin of pressure, however many callers it concerns, and one at its end. */
    private fun beginPressure() {
        pressureEnd?.cancel(false)
        pressureEnd = eventLoop.schedule(PressureEnd, ::endPressure)
        if (isUnderPressure) return
        isUnderPressure = true
        log("intake_full")
    }

    private fun endPressure() {
        isUnderPressure = false
        log("intake_free")
        refusedInPressure = 0
    }

    private fun log(event: String) = DecisionLog.write(
        event,
        "held" to budget.heldBytes,
        "held_fields" to budget.heldFieldBytes,
        "connections" to budget.connectionCount,
        "waiting" to budget.waitingCount,
        "refused" to refusedInPressure,
    )

    public companion object {
        /** Time between checks of the connections that wait. */
        private val SettlePeriod = 100.milliseconds

        /** Time without pauses and refusals after which the pressure has ended. */
        private val PressureEnd = 2_000.milliseconds

        /** Reads the bounds of this process; the settings of the machine know [memoryBytes] and [descriptors]. */
        public fun processBounds(memoryBytes: Long?, descriptors: Int?): ProcessBounds = ProcessBounds(
            heapBytes = Runtime.getRuntime().maxMemory(),
            directBytes = PlatformDependent.estimateMaxDirectMemory(),
            memoryBytes = memoryBytes,
            descriptors = descriptors,
        )
    }
}

/** There is no memory for the header fields of a request. */
internal class FieldsRefused : IllegalStateException("no memory for header fields")
