package io.quetzalfield.entry

import io.quetzalfield.decision.AdmissionControl
import io.quetzalfield.decision.AllowanceShare
import io.quetzalfield.decision.CrashQuarantine
import io.quetzalfield.decision.ExpectedFinishRunnerChooser
import io.quetzalfield.decision.LearningRouting
import io.quetzalfield.decision.RetryBudget
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.ModelId
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.VersionId
import io.quetzalfield.peer.PeerClients
import io.quetzalfield.peer.wire.FingerprintList
import io.quetzalfield.peer.wire.ObservationsReply
import io.quetzalfield.peer.wire.VersionStop
import io.quetzalfield.store.RatingService
import io.quetzalfield.support.every
import io.quetzalfield.support.newScheduler
import io.quetzalfield.support.status.StatusSection
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The allowances of the lists in force, reduced to the [shares] of this entry. */
internal class ListedAllowanceShare(private val lists: ListsHolder, private val shares: AllowanceShares) :
    AllowanceShare {
    override fun tokensPerMinute(account: ClientAccountId): Double =
        lists.snapshot.account(account)?.let(shares::tokensPerMinute) ?: 0.0
}

/** The components of an entry that control running requests: admission, retries, crash suspects and roll-outs. */
internal class EntryControl(
    private val incarnation: Incarnation,
    private val lists: ListsHolder,
    private val fleet: FleetView,
    private val loads: RunnerLoadTracker,
    peers: PeerClients,
    private val metrics: EntryMetrics,
    ratingService: RatingService,
    private val routing: LearningRouting,
    allowance: AllowanceShare,
    onDemand: (ClientAccountId, Long) -> Unit = { _, _ -> },
) : AutoCloseable {
    private val scheduler = newScheduler("control")
    private val quarantine = CrashQuarantine(incarnation.instance)
    private val exchange = FingerprintExchange(incarnation, quarantine, fleet, peers)
    private val guard = CrashGuard(incarnation.instance, quarantine, exchange, fleet, metrics)
    private val observations = ObservationBook()
    private val answerTimes = AnswerTimes()
    private val ratings = RatingPipeline(
        service = ratingService,
        metrics = metrics,
        onOwnRating = { observations.noteRating(it.source, it.passed) },
        onRating = routing.qualities::recordRating,
    )
    val admission = RequestAdmission(AdmissionControl(allowance), loads, answerTimes, onDemand)
    val rollouts = RolloutMonitor(lists, observations, PeerObservations(incarnation, fleet, peers), metrics)

    /** The status sections of these components. */
    val sections: List<StatusSection> = listOf(
        suspectsSection(quarantine),
        allowancesSection(lists, allowance),
        stoppedVersionsSection(lists, rollouts),
    )
    val answers = AnswerObserver(answerTimes, observations, ratings, routing)

    fun attempts(
        ownFailureDomain: FailureDomainId,
        runners: RunnerClient,
        journal: RequestJournal = RequestJournal.None,
    ): CompletionAttempts = CompletionAttempts(
        ownFailureDomain = ownFailureDomain,
        runnerChooser = ExpectedFinishRunnerChooser(),
        loads = loads,
        fleet = fleet,
        runners = runners,
        guard = guard,
        retryBudget = RetryBudget(),
        observations = observations,
        metrics = metrics,
        journal = journal,
        currentLists = lists::snapshot,
    )

    /** Starts the periodic tasks. They run on a separate scheduler, as a slow rating service may delay them. */
    fun start() {
        scheduler.every(RATING_PERIOD, ::exchangeRatings)
        scheduler.every(ROLLOUT_PERIOD, rollouts::check)
        scheduler.every(FINGERPRINT_PERIOD, exchange::exchangeWithNext)
    }

    /** Submits the queued answers to the rating service and reads the new ratings. */
    fun exchangeRatings() {
        ratings.submitQueued()
        ratings.readRatings()
    }

    fun answerFingerprints(request: FingerprintList): FingerprintList {
        val reply = exchange.answer(request)
        metrics.setQuarantined(quarantine.quarantinedCount)
        return reply
    }

    fun answerObservations(): ObservationsReply = observations.toReply(incarnation)

    fun applyReportedStop(stop: VersionStop) {
        val version = ModelVersionReference(ModelId(stop.model), VersionId(stop.version))
        rollouts.applyReportedStop(version, stop.reason, ListsRevision(stop.listsRevision))
    }

    override fun close() {
        scheduler.shutdownNow()
        exchange.close()
    }

    private companion object {
        val RATING_PERIOD: Duration = 250.milliseconds
        val ROLLOUT_PERIOD: Duration = 250.milliseconds
        val FINGERPRINT_PERIOD: Duration = 500.milliseconds
    }
}
