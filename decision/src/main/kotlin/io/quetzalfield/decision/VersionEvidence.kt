package io.quetzalfield.decision

import io.quetzalfield.model.ModelVersionReference
import kotlin.math.pow
import kotlin.time.ComparableTimeMark
import kotlin.time.TimeSource

/** Which answers of a version a cell is about. */
internal data class EvidenceKey(val kind: String, val escalatedFrom: ModelVersionReference? = null)

/**
 * The evidence on one version. A fall of its pass rate is looked for over all kinds of request together, as it is
 * noticed sooner so. While the version is fallen, the evidence of the fall fades with time, so that the version is
 * tried again; the evidence from before is taken back when the rate has risen. Not thread-safe.
 */
internal class VersionEvidence(
    private val settings: LearningSettings,
    private val timeSource: TimeSource.WithComparableMarks,
) {
    private val cells = HashMap<EvidenceKey, PassRateCell>()
    private val fall = ChangeDetector(RateChange.FALL, settings.noticedDrop, settings.fallThreshold)
    private val rise = ChangeDetector(RateChange.RISE, settings.noticedDrop, settings.riseThreshold)
    private var fadedAt: ComparableTimeMark? = null

    /** The cell of [key]; kinds beyond the greatest number share cells, as callers name the kinds. */
    fun cell(key: EvidenceKey): PassRateCell {
        val isFull = cells.size >= settings.maximumCells && key !in cells
        val kept = if (isFull) key.copy(kind = OTHER_KINDS) else key
        return cells.getOrPut(kept) { newCell(kept) }
    }

    private fun newCell(key: EvidenceKey): PassRateCell {
        val isEscalated = key.escalatedFrom != null
        val pseudoCount = if (isEscalated) settings.escalatedPriorRatings else settings.priorRatings
        return PassRateCell(settings.retentionPerRating, pseudoCount)
    }

    fun profile(key: EvidenceKey, prior: Double): ScoreProfile {
        fade()
        val cell = cell(key)
        cell.prior = prior
        return cell.profile()
    }

    fun recordRating(key: EvidenceKey, score: Double?, passed: Boolean) {
        fade()
        val cell = cell(key)
        val expected = cell.expectedRate(score)
        val isExpectationSound = cell.expectedFrom >= settings.ratingsBeforeDetection
        cell.recordRating(score, passed)
        when {
            !isExpectationSound -> return
            fadedAt == null -> lookForFall(passed, expected)
            else -> lookForRise(passed, expected)
        }
    }

    private fun lookForFall(passed: Boolean, expected: Double) {
        fall.observe(passed, expected)
        if (fall.isAtZero) cells.values.forEach { it.clearRecent() }
        if (!fall.hasAlarm) return
        cells.values.forEach { it.forgetBeforeFall() }
        fadedAt = timeSource.markNow()
        fall.reset()
        rise.reset()
    }

    private fun lookForRise(passed: Boolean, expected: Double) {
        rise.observe(passed, expected)
        val isLasting = cells.values.sumOf { it.ratingCount } >= settings.ratingsOfLastingFall
        if (!rise.hasAlarm && !isLasting) return
        cells.values.forEach { if (rise.hasAlarm) it.restoreBeforeFall() else it.dropBeforeFall() }
        cells.values.forEach { it.clearRecent() }
        fadedAt = null
    }

    private fun fade() {
        val before = fadedAt ?: return
        val now = timeSource.markNow()
        val elapsed = now - before
        if (elapsed < settings.fadeInterval) return
        val factor = HALF.pow(elapsed / settings.fallenHalfLife)
        cells.values.forEach { it.fade(factor) }
        fadedAt = now
    }

    private companion object {
        const val HALF = 0.5
        const val OTHER_KINDS = ""
    }
}
