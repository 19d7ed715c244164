package io.quetzalfield.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.quetzalfield.decision.CrashQuarantine
import io.quetzalfield.decision.CrashVerdict
import io.quetzalfield.decision.RetryDelays
import io.quetzalfield.decision.RunnerView
import io.quetzalfield.decision.rendezvousOrder
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.model.RequestFingerprint
import io.quetzalfield.model.RunnerId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** How an attempt may run with respect to other requests. */
internal enum class AttemptMode {
    /** Alongside any other request. */
    ORDINARY,

    /** As a crash suspect, on a runner without other suspects. */
    ISOLATED,
}

/** Prevents a request that crashes its runners from crashing more than two of them. */
internal class CrashGuard(
    private val ownInstance: InstanceId,
    private val quarantine: CrashQuarantine,
    private val exchange: FingerprintExchange,
    private val fleet: FleetView,
    private val metrics: EntryMetrics,
    private val retryDelays: RetryDelays = RetryDelays(),
) {
    private val slots = IsolationSlots()

    /** Returns how the request with [fingerprint] may run now, or the reason why it is refused. */
    fun enter(fingerprint: RequestFingerprint): Either<NotRun, AttemptMode> = when (quarantine.begin(fingerprint)) {
        CrashVerdict.ORDINARY -> AttemptMode.ORDINARY.right()

        CrashVerdict.ISOLATED -> AttemptMode.ISOLATED.right()

        CrashVerdict.BUSY_ELSEWHERE -> NotRun(
            refusal = RefusalReason.SUSPECT_RUNS_ELSEWHERE,
            message = "a request with the same content lost its runner and runs alone now",
            retryAfter = retryDelays.after(RETRY_AFTER),
        ).left()

        CrashVerdict.QUARANTINED -> NotRun(
            refusal = RefusalReason.REQUEST_CRASHES_RUNNERS,
            message = "runners crashed while they ran this request; it is not run again",
        ).left()
    }

    /**
     * Reserves a runner for a suspect, excluding runners that already have one. Each runner has one preferred entry;
     * an entry tries the runners that prefer it first, so that suspects of two entries rarely share a runner.
     *
     * @return `null` if no runner could be reserved within [timeout].
     */
    fun isolate(
        timeout: Duration,
        choose: (excluded: Set<RunnerId>) -> RunnerView?,
        all: List<RunnerView>,
    ): RunnerView? = slots.acquire(timeout) { occupied ->
        choose(occupied + all.map(RunnerView::id).filterNot(::prefersThisEntry)) ?: choose(occupied)
    }

    /** Ends the isolation of [runner]. */
    fun release(runner: RunnerId) {
        slots.release(runner)
    }

    /** Returns the runners that other requests should avoid because a suspect is running there. */
    fun avoidedRunners(): Set<RunnerId> = slots.occupiedRunners

    /** Records that [runner] crashed while running the request, and informs the other entries before it returns. */
    fun recordCrash(fingerprint: RequestFingerprint, runner: RunnerId) {
        metrics.countRunnerCrash()
        quarantine.recordCrash(fingerprint, runner)
        metrics.setQuarantined(quarantine.quarantinedCount)
        exchange.exchangeWithAll()
    }

    /** Records that the request was answered in full, which clears a suspect. */
    fun recordAnswer(fingerprint: RequestFingerprint) {
        quarantine.recordAnswer(fingerprint)
    }

    /** Records that an isolated run ended with neither an answer nor a crash; it may be repeated. */
    fun recordAbandonedRun(fingerprint: RequestFingerprint) {
        quarantine.recordAbandonedRun(fingerprint)
    }

    private fun prefersThisEntry(runner: RunnerId): Boolean =
        rendezvousOrder(runner.value, fleet.entries.map { it.id }) { it.value }.firstOrNull() == ownInstance

    private companion object {
        val RETRY_AFTER = 1.seconds
    }
}
