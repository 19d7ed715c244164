package io.quetzalfield.steward.bills

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.store.KeyValueStore
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.StoredValue
import io.quetzalfield.store.SwapResult
import io.quetzalfield.store.bills.AccountBill
import io.quetzalfield.store.bills.BillCell
import io.quetzalfield.store.bills.BillTotals
import io.quetzalfield.store.bills.CellState
import io.quetzalfield.store.bills.SequenceRange
import io.quetzalfield.store.bills.accountBillKey
import io.quetzalfield.store.bills.billCellKey
import kotlin.time.Clock

/** Why the bills of an incarnation could not be folded yet. Folding may be retried at any time. */
public data class FoldError(val message: String)

/**
 * Folds the bills of one ended incarnation into the accounts.
 *
 * Every step may be repeated by any steward at any time, after a lost response as well as after a crash:
 * 1. the cell is sealed, so that later writes of its incarnation fail;
 * 2. the bills that are not in the cell are collected from the witnesses, which then refuse later bills; their keys are
 *    announced to all entries, and bills whose keys another process has billed are left out; the others are added to
 *    the cell together with the sequence numbers of all, so that all stewards continue with the same sums;
 * 3. the sums are added to each account, together with the name of the incarnation;
 * 4. the cell is marked as folded.
 */
public class BillFolding(
    private val store: KeyValueStore,
    private val witnesses: BillWitnesses,
    private val clock: Clock = Clock.System,
) {
    /** Folds [incarnation] if its cell is not folded yet. */
    public fun fold(incarnation: Incarnation): Either<FoldError, Unit> = seal(incarnation)
        .flatMap { sealed -> collect(incarnation, sealed) }
        .flatMap { collected -> addToAccounts(incarnation, collected) }

    private fun addToAccounts(incarnation: Incarnation, collected: SealedCell): Either<FoldError, Unit> {
        if (collected.cell.state == CellState.FOLDED) return Unit.right()
        for ((account, totals) in collected.cell.totals) {
            addToAccount(incarnation, account, totals).onLeft { return it.left() }
        }
        return markFolded(incarnation, collected).onRight { witnesses.forget(incarnation) }
    }

    private class SealedCell(val cell: BillCell, val revision: StoreRevision)

    private fun seal(incarnation: Incarnation): Either<FoldError, SealedCell> {
        val key = billCellKey(incarnation)
        repeat(MAXIMUM_ATTEMPTS) {
            val stored = store.read(key).getOrElse { return FoldError(it.message).left() }
            val cell = stored?.let { BillCell.fromJson(it.value) } ?: BillCell()
            val revision = stored?.modified ?: StoreRevision.Absent
            if (cell.state != CellState.OPEN) return SealedCell(cell, revision).right()
            store.compareAndSwap(key, revision, cell.copy(state = CellState.SEALED).toJson())
        }
        return FoldError("the cell of $incarnation kept changing in $MAXIMUM_ATTEMPTS attempts to seal it").left()
    }

    /** Adds the bills that the witnesses keep to the cell, unless they were added before. */
    private fun collect(incarnation: Incarnation, sealed: SealedCell): Either<FoldError, SealedCell> {
        if (sealed.cell.state != CellState.SEALED) return sealed.right()
        val later = witnesses.collect(incarnation, sealed.cell.sequence)
            .getOrElse { return FoldError(it.message).left() }
        val billedByOthers = witnesses.announce(incarnation, later).getOrElse { return FoldError(it.message).left() }
        val collected = sealed.cell.copy(
            totals = sealed.cell.totals.merge(later.filterNot { it.sequence in billedByOthers }),
            state = CellState.COLLECTED,
            collected = SequenceRange.covering(later.map(CollectedBill::sequence)),
        )
        store.compareAndSwap(billCellKey(incarnation), sealed.revision, collected.toJson())
        val stored = store.read(billCellKey(incarnation)).getOrElse { return FoldError(it.message).left() }
        val cell = stored?.let { BillCell.fromJson(it.value) }
        return if (stored != null && cell?.state in COLLECTED_STATES) {
            SealedCell(checkNotNull(cell), stored.modified).right()
        } else {
            FoldError("the collected bills of $incarnation were not written to its cell").left()
        }
    }

    /**
     * Adds [totals] to [account] unless they are already included. The cell is read after the account: as long as the
     * cell exists, the account names every incarnation that was folded into it, and if that name is removed in the
     * meantime, the account has changed and the write fails.
     */
    private fun addToAccount(
        incarnation: Incarnation,
        account: ClientAccountId,
        totals: BillTotals,
    ): Either<FoldError, Unit> {
        val key = accountBillKey(account)
        repeat(MAXIMUM_ATTEMPTS) {
            val stored = store.read(key).getOrElse { return FoldError(it.message).left() }
            val bill = stored?.let { AccountBill.fromJson(it.value) } ?: AccountBill()
            if (incarnation in bill.folded) return Unit.right()
            if (!isCollected(incarnation)) {
                return FoldError("the cell of $incarnation could not be read or is not in the state COLLECTED").left()
            }
            val revision = stored?.modified ?: StoreRevision.Absent
            store.compareAndSwap(key, revision, bill.fold(incarnation, totals).toJson())
        }
        return FoldError("the bill of $account kept changing in $MAXIMUM_ATTEMPTS attempts to update it").left()
    }

    private fun isCollected(incarnation: Incarnation): Boolean {
        val stored = store.read(billCellKey(incarnation)).getOrElse { return false }
        return stored.cellState() == CellState.COLLECTED
    }

    private fun markFolded(incarnation: Incarnation, sealed: SealedCell): Either<FoldError, Unit> {
        val folded = sealed.cell.copy(
            state = CellState.FOLDED,
            foldedAtEpochMilliseconds = clock.now().toEpochMilliseconds(),
        )
        val swap = store.compareAndSwap(billCellKey(incarnation), sealed.revision, folded.toJson())
            .getOrElse { return FoldError(it.message).left() }
        val isFolded = when (swap) {
            is SwapResult.Swapped -> true
            is SwapResult.Conflict -> swap.current.cellState() != CellState.COLLECTED
        }
        return if (isFolded) Unit.right() else FoldError("the cell of $incarnation changed during folding").left()
    }

    private fun StoredValue?.cellState(): CellState? = this?.let { BillCell.fromJson(it.value).state }

    private fun Map<ClientAccountId, BillTotals>.merge(bills: List<CollectedBill>): Map<ClientAccountId, BillTotals> {
        val sums = toMutableMap()
        for (bill in bills) sums.merge(bill.account, bill.totals, BillTotals::plus)
        return sums
    }

    private companion object {
        const val MAXIMUM_ATTEMPTS = 5
        val COLLECTED_STATES = setOf(CellState.COLLECTED, CellState.FOLDED)
    }
}
