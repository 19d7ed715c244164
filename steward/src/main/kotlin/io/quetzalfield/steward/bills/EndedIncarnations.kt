package io.quetzalfield.steward.bills

import arrow.core.getOrElse
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceKind
import io.quetzalfield.store.InstanceDirectory
import io.quetzalfield.store.KeyValueStore
import io.quetzalfield.store.bills.BILL_CELL_PREFIX
import io.quetzalfield.store.bills.BillCell
import io.quetzalfield.store.bills.CellState
import io.quetzalfield.store.bills.billingProcess
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Finds incarnations that have billed and have ended: for [goneAfter], the platform did not list them and no witness
 * heard from them. A wrong result is harmless, because the process of a sealed incarnation continues under a new one.
 */
public class EndedIncarnations(
    private val store: KeyValueStore,
    private val directory: InstanceDirectory,
    private val witnesses: BillWitnesses,
    private val goneAfter: Duration,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private val missingSince = mutableMapOf<Incarnation, ComparableTimeMark>()

    /** The incarnations to fold now. */
    public fun find(): Set<Incarnation> {
        val listed = directory.instances().getOrElse { return emptySet() }
        val cells = cellStates() ?: return emptySet()
        val senders = witnesses.senders().groupBy(WitnessedSender::incarnation)
        val unfolded = cells.filterValues { it != CellState.FOLDED }.keys + (senders.keys - cells.keys)
        val liveStarts = listed.filter { it.kind == InstanceKind.ENTRY }.map { it.id to it.start }.toSet()
        val missing = unfolded.filterNot { incarnation ->
            val isListed = (incarnation.instance to incarnation.billingProcess.start) in liveStarts
            val isHeard = senders[incarnation].orEmpty().any { it.silence < goneAfter }
            cells[incarnation] !in SEALED_STATES && (isListed || isHeard)
        }
        missingSince.keys.retainAll(missing.toSet())
        missing.forEach { missingSince.getOrPut(it, timeSource::markNow) }
        return missing.filter { cells[it] in SEALED_STATES || hasTimedOut(it) }.toSet()
    }

    private fun hasTimedOut(incarnation: Incarnation): Boolean =
        missingSince.getValue(incarnation).elapsedNow() >= goneAfter

    private fun cellStates(): Map<Incarnation, CellState>? = store.list(BILL_CELL_PREFIX).getOrNull()
        ?.mapNotNull { stored ->
            Incarnation.parse(stored.key.removePrefix(BILL_CELL_PREFIX))
                ?.let { it to BillCell.fromJson(stored.value).state }
        }
        ?.toMap()

    private companion object {
        val SEALED_STATES = setOf(CellState.SEALED, CellState.COLLECTED)
    }
}
