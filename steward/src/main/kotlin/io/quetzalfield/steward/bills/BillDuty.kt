package io.quetzalfield.steward.bills

import arrow.core.Either
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.apache.logging.log4j.LogManager

/** The duty of folding the bills of ended incarnations into the accounts. */
public class BillDuty(
    private val ended: EndedIncarnations,
    private val folding: BillFolding,
    private val foldedCells: FoldedCells,
    registry: PrometheusRegistry = PrometheusRegistry(),
) {
    private val outcomes = Counter.builder()
        .name("quetzalfield_bill_folds_total")
        .help("Attempts to fold the bills of an ended incarnation, by outcome")
        .labelNames("outcome")
        .register(registry)

    /** Folds the bills of ended incarnations and cleans up after earlier folds, as long as [isHeld]. */
    public fun run(isHeld: () -> Boolean) {
        for (incarnation in ended.find()) {
            if (!isHeld()) return
            when (folding.fold(incarnation)) {
                is Either.Left -> outcomes.labelValues("postponed").inc()

                is Either.Right -> {
                    outcomes.labelValues("folded").inc()
                    logger.info("folded the bills of {}", incarnation)
                }
            }
        }
        if (isHeld()) foldedCells.deleteOld()
        if (isHeld()) foldedCells.pruneAccounts()
    }

    private companion object {
        val logger = LogManager.getLogger(BillDuty::class.java)
    }
}
