package io.quetzalfield.forwarding.crashes

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** What an instance has found and has to tell the others. */
internal class CrashOutbox(private val timeSource: TimeSource.WithComparableMarks) {
    /** What this instance itself has seen of a loss; [unsent] are the candidates that were not reported yet. */
    private class OwnLoss(val loss: EndpointLoss) {
        val candidates = mutableListOf<CrashCandidate>()
        val unsent = mutableListOf<CrashCandidate>()

        /** Whether this instance itself has found that the endpoint ended, or that it lives on. */
        var isJudged = false
        var isJudgementUnsent = false
        val isUnsent: Boolean get() = unsent.isNotEmpty() || isJudgementUnsent
    }

    private val ownLosses = mutableListOf<OwnLoss>()
    private val proofs = LinkedHashMap<String, ComparableTimeMark>()
    private val decisions = LinkedHashSet<CrashSuspect>()

    val hasNews: Boolean
        get() = proofs.isNotEmpty() || decisions.isNotEmpty() || ownLosses.any(OwnLoss::isUnsent)

    fun addLoss(loss: EndpointLoss, candidate: CrashCandidate) {
        val own = ownLossOf(loss)
        own.candidates += candidate
        own.unsent += candidate
    }

    /** Adds that this instance has found whether the endpoint of [loss] ended. */
    fun addJudgement(loss: EndpointLoss) {
        val own = ownLossOf(loss)
        own.isJudged = true
        own.isJudgementUnsent = true
    }

    fun addProof(part: String, startedAt: ComparableTimeMark) {
        proofs[part] = startedAt
    }

    fun addDecision(suspect: CrashSuspect) {
        decisions += suspect
    }

    /** Returns all that was added since the last call; [reportOf] returns the present state of a suspect. */
    fun take(reportOf: (CrashSuspect) -> BlameReport): CrashNews {
        val changed = ownLosses.filter(OwnLoss::isUnsent)
        val news = CrashNews(
            losses = changed.map { it.report(it.unsent.toList()) },
            proofs = proofs.map { (part, startedAt) -> ProofReport(part, age(startedAt)) },
            blames = decisions.map(reportOf),
        )
        for (own in changed) {
            own.unsent.clear()
            own.isJudgementUnsent = false
        }
        proofs.clear()
        decisions.clear()
        return news
    }

    /** Returns what this instance has seen lately, told or not. */
    fun recentLosses(): List<LossReport> {
        removeExpired()
        return ownLosses.map { it.report(it.candidates.toList()) }
    }

    private fun OwnLoss.report(candidates: List<CrashCandidate>) = LossReport(
        endpoint = loss.endpoint,
        ageMilliseconds = age(loss.at),
        isConfirmed = isJudged && loss.isConfirmed,
        candidates = candidates,
        hasEnded = isJudged && loss.isCertain,
        isAlive = isJudged && loss.isRefuted,
    )

    private fun age(mark: ComparableTimeMark): Long = (timeSource.markNow() - mark).inWholeMilliseconds

    private fun ownLossOf(loss: EndpointLoss): OwnLoss {
        removeExpired()
        return ownLosses.find { it.loss === loss } ?: OwnLoss(loss).also(ownLosses::add)
    }

    private fun removeExpired() {
        val now = timeSource.markNow()
        ownLosses.removeAll { now - it.loss.at >= Recent }
    }

    private companion object {
        /** Time for which evidence is repeated with each refresh, as messages may be lost. */
        val Recent = 3.seconds
    }
}

/** The age that a report states in milliseconds; a negative one counts as none. */
internal fun Long.age(): Duration = coerceAtLeast(0).milliseconds
