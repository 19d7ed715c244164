package io.quetzalfield.decision

import io.quetzalfield.model.ModelVersionReference
import kotlin.math.pow
import kotlin.time.ComparableTimeMark
import kotlin.time.TimeSource

/** The group of a version's answers that a cell covers. */
internal data class EvidenceKey(val kind: String, val escalatedFrom: ModelVersionReference? = null)

/**
 * The evidence on one version. Falls of its pass rate are detected over all kinds of request together, which takes less
 * time than by kind. After a fall, the weight of the evidence since the fall decays with time, so that the version is
 * tried again; the evidence from before the fall is restored when the rate has risen. Not thread-safe.
 */
internal class VersionEvidence(
    private val settings: LearningSettings,
    private val timeSource: TimeSource.WithComparableMarks,
) {
    private val cells = HashMap<EvidenceKey, PassRateCell>()
    private val fallDetector = ChangeDetector(RateChange.FALL, settings.detectedDrop, settings.fallThreshold)
    private val riseDetector = ChangeDetector(RateChange.RISE, settings.detectedDrop, settings.riseThreshold)
    private var lastDiscountAt: ComparableTimeMark? = null

    /** The cell of [key]. Beyond the maximum number of cells, kinds share cells, because callers name the kinds. */
    fun cell(key: EvidenceKey): PassRateCell {
        val isFull = cells.size >= settings.maximumCells && key !in cells
        val cellKey = if (isFull) key.copy(kind = OTHER_KINDS) else key
        return cells.getOrPut(cellKey) { newCell(cellKey) }
    }

    private fun newCell(key: EvidenceKey): PassRateCell {
        val isEscalated = key.escalatedFrom != null
        val pseudoCount = if (isEscalated) settings.escalatedPriorRatings else settings.priorRatings
        return PassRateCell(settings.retentionPerRating, pseudoCount)
    }

    fun profile(key: EvidenceKey, prior: Double): ScoreProfile {
        discount()
        val cell = cell(key)
        cell.prior = prior
        return cell.profile()
    }

    fun recordRating(key: EvidenceKey, score: Double?, passed: Boolean) {
        discount()
        val cell = cell(key)
        val expected = cell.expectedRate(score)
        val hasEnoughRatings = cell.expectedRateRatings >= settings.ratingsBeforeDetection
        cell.recordRating(score, passed)
        when {
            !hasEnoughRatings -> return
            lastDiscountAt == null -> detectFall(passed, expected)
            else -> detectRise(passed, expected)
        }
    }

    private fun detectFall(passed: Boolean, expected: Double) {
        fallDetector.observe(passed, expected)
        if (fallDetector.isAtZero) cells.values.forEach { it.clearRecent() }
        if (!fallDetector.hasAlarm) return
        cells.values.forEach { it.setAsideBeforeFall() }
        lastDiscountAt = timeSource.markNow()
        fallDetector.reset()
        riseDetector.reset()
    }

    private fun detectRise(passed: Boolean, expected: Double) {
        riseDetector.observe(passed, expected)
        val isLastingFall = cells.values.sumOf { it.ratingCount } >= settings.ratingsOfLastingFall
        if (!riseDetector.hasAlarm && !isLastingFall) return
        cells.values.forEach { if (riseDetector.hasAlarm) it.restoreBeforeFall() else it.dropBeforeFall() }
        cells.values.forEach { it.clearRecent() }
        lastDiscountAt = null
    }

    private fun discount() {
        val before = lastDiscountAt ?: return
        val now = timeSource.markNow()
        val elapsed = now - before
        if (elapsed < settings.discountInterval) return
        val factor = HALF.pow(elapsed / settings.fallenHalfLife)
        cells.values.forEach { it.discountSinceFall(factor) }
        lastDiscountAt = now
    }

    private companion object {
        const val HALF = 0.5
        const val OTHER_KINDS = ""
    }
}
