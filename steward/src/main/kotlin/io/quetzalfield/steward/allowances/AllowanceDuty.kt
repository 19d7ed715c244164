package io.quetzalfield.steward.allowances

import io.quetzalfield.decision.AllowanceDivider
import io.quetzalfield.decision.AllowanceDivision
import io.quetzalfield.decision.AllowanceRules
import io.quetzalfield.decision.EntryDemand
import io.quetzalfield.store.HeldDuty
import kotlin.time.TimeSource

/** A division with the fencing number of the duty under which it was made. */
public data class FencedDivision(val fencingNumber: Long, val division: AllowanceDivision)

/** The duty of dividing allowances. The division starts from scratch each time the duty is acquired. */
public class AllowanceDuty(
    private val held: () -> HeldDuty?,
    private val rules: AllowanceRules = AllowanceRules(),
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private class Term(val fencingNumber: Long, val divider: AllowanceDivider)

    private var term: Term? = null

    /**
     * Divides the allowances for an entry that reports [demand] and uses a division made under
     * [confirmedFencingNumber]; `null` if this steward does not hold the duty.
     */
    @Synchronized
    public fun divide(demand: EntryDemand, confirmedFencingNumber: Long): FencedDivision? {
        val duty = held() ?: return null
        val current = term?.takeIf { it.fencingNumber == duty.fencingNumber }
            ?: Term(duty.fencingNumber, AllowanceDivider(rules, timeSource)).also { term = it }
        val isOwn = confirmedFencingNumber == duty.fencingNumber
        val known = if (isOwn) demand else demand.copy(confirmedGeneration = 0)
        return FencedDivision(duty.fencingNumber, current.divider.divide(known))
    }
}
