package io.quetzalfield.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.quetzalfield.decision.CrashQuarantine
import io.quetzalfield.decision.CrashVerdict
import io.quetzalfield.decision.RunnerView
import io.quetzalfield.decision.rendezvousOrder
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.model.RequestFingerprint
import io.quetzalfield.model.RunnerId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** How an attempt may run. */
internal enum class AttemptMode {
    /** Beside any other request. */
    ORDINARY,

    /** As a suspect of a crash, apart from other suspects. */
    ISOLATED,
}

/** Keeps requests that crash runners from costing more than two of them. */
internal class CrashGuard(
    private val own: InstanceId,
    private val quarantine: CrashQuarantine,
    private val exchange: FingerprintExchange,
    private val fleet: FleetView,
    private val metrics: EntryMetrics,
    private val random: Random = Random.Default,
) {
    private val slots = IsolationSlots()

    /** How the request with [fingerprint] may run now, or why it is refused. */
    fun enter(fingerprint: RequestFingerprint): Either<NotRun, AttemptMode> = when (quarantine.begin(fingerprint)) {
        CrashVerdict.ORDINARY -> AttemptMode.ORDINARY.right()

        CrashVerdict.ISOLATED -> AttemptMode.ISOLATED.right()

        CrashVerdict.BUSY_ELSEWHERE -> NotRun(
            refusal = RefusalReason.SUSPECT_RUNS_ELSEWHERE,
            message = "a request with the same content lost its runner and runs alone now",
            retryAfter = RETRY_AFTER * (1.0 + synchronized(random) { random.nextDouble() }),
        ).left()

        CrashVerdict.QUARANTINED -> NotRun(
            refusal = RefusalReason.REQUEST_CRASHES_RUNNERS,
            message = "runners crashed while they ran this request; it is not run again",
        ).left()
    }

    /**
     * Takes a runner for a suspect, apart from other suspects. Each runner takes suspects of one entry first, so that
     * suspects of two entries seldom meet.
     */
    fun isolate(
        timeout: Duration,
        choose: (excluded: Set<RunnerId>) -> RunnerView?,
        all: List<RunnerView>,
    ): RunnerView? = slots.acquire(timeout) { occupied ->
        choose(occupied + all.map(RunnerView::id).filterNot(::isOwnForSuspects)) ?: choose(occupied)
    }

    /** Ends the isolation of [runner]. */
    fun release(runner: RunnerId) {
        slots.release(runner)
    }

    /** Runners that requests should avoid, as a suspect runs there. */
    fun avoidedRunners(): Set<RunnerId> = slots.occupiedRunners

    /** Notes that [runner] crashed while it ran the request, and tells the other entries before anything else. */
    fun noteCrash(fingerprint: RequestFingerprint, runner: RunnerId) {
        metrics.countRunnerCrash()
        quarantine.noteCrash(fingerprint, runner)
        metrics.setQuarantined(quarantine.quarantinedCount)
        exchange.exchangeWithAll()
    }

    fun noteAnswer(fingerprint: RequestFingerprint) {
        quarantine.noteAnswer(fingerprint)
    }

    fun noteGivenUp(fingerprint: RequestFingerprint) {
        quarantine.noteGivenUp(fingerprint)
    }

    private fun isOwnForSuspects(runner: RunnerId): Boolean =
        rendezvousOrder(runner.value, fleet.entries.map { it.id }) { it.value }.firstOrNull() == own

    private companion object {
        val RETRY_AFTER = 1.seconds
    }
}
