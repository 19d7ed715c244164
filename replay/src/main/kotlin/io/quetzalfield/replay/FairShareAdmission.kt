package io.quetzalfield.replay

import arrow.core.Either
import io.quetzalfield.decision.AdmissionControl
import io.quetzalfield.decision.AdmissionRequest
import io.quetzalfield.decision.AllowanceShare
import io.quetzalfield.decision.LatencyEstimates
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.NotRun
import kotlin.time.Duration.Companion.milliseconds

/** Applies the admission control of the entries, as a single entry that holds the whole allowance of every account. */
internal class FairShareAdmission(context: PolicyContext, private val latencies: LatencyEstimates) : ReplayAdmission {
    private val snapshot = ListsSnapshot(context.trace.header.lists)
    private val control = AdmissionControl(
        allowance = AllowanceShare { account -> snapshot.account(account)?.tokensPerMinute?.toDouble() ?: 0.0 },
        timeSource = context.timeSource,
        random = context.random,
    )

    override fun admit(request: ReplayAdmissionRequest): Either<NotRun, (Int) -> Unit> {
        val admission = AdmissionRequest(
            account = request.account.id,
            weight = request.account.weight,
            priority = request.plan.priority,
            expectedTokens = request.expectedTokens,
            deadline = request.plan.deadlineMilliseconds.milliseconds,
            expectedDuration = latencies.estimate(request.version).timeUntil(request.expectedTokens),
            pressure = request.pressure,
        )
        return control.admit(admission).map { admitted -> { tokens: Int -> admitted.finish(tokens) } }
    }
}
