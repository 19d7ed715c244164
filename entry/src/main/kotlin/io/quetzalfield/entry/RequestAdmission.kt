package io.quetzalfield.entry

import arrow.core.Either
import io.quetzalfield.decision.AdmissionControl
import io.quetzalfield.decision.AdmissionRequest
import io.quetzalfield.decision.Admitted
import io.quetzalfield.decision.RequestedModel
import io.quetzalfield.decision.RunnerView
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.VersionState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Admits completions according to the load of the runners that can serve them. */
internal class RequestAdmission(
    private val control: AdmissionControl,
    private val loads: RunnerLoadTracker,
    private val answerTimes: AnswerTimes,
    private val onDemand: (ClientAccountId, Long) -> Unit = { _, _ -> },
) {
    private class Pool(val pressure: Double, val expectedDuration: Duration)

    /** The number of admitted requests that have not ended. */
    val admittedRequests: Int get() = control.admittedRequests

    /** Admits [call], or returns the reason for the refusal at once. */
    fun admit(call: CompletionCall): Either<NotRun, Admitted> {
        onDemand(call.account.id, call.route.expectedTokens.toLong())
        val views = loads.views()
        val pools = versionsFor(call).mapNotNull { pool(it, views, call.route.expectedTokens) }
        val request = AdmissionRequest(
            account = call.account.id,
            weight = call.account.weight,
            priority = call.plan.priority,
            expectedTokens = call.route.expectedTokens,
            deadline = call.plan.deadlineMilliseconds.milliseconds,
            expectedDuration = pools.minOfOrNull(Pool::expectedDuration) ?: Duration.ZERO,
            pressure = pools.minOfOrNull(Pool::pressure) ?: 0.0,
        )
        return control.admit(request)
    }

    private fun versionsFor(call: CompletionCall): List<ModelVersionReference> {
        call.pin?.let { return listOf(it.version) }
        return call.snapshot.allowedVersions(call.plan.id).filter { version ->
            isRequested(version, call.route.requested) &&
                call.snapshot.version(version)?.state == VersionState.SERVING
        }
    }

    private fun isRequested(version: ModelVersionReference, requested: RequestedModel): Boolean = when (requested) {
        RequestedModel.Automatic -> true
        is RequestedModel.AnyVersion -> version.model == requested.model
        is RequestedModel.Exactly -> version == requested.version
    }

    /** Returns the load of the runners of [version] as one pool; `null` if they have no slots. */
    private fun pool(version: ModelVersionReference, views: List<RunnerView>, tokens: Int): Pool? {
        var requests = 0
        var slots = 0
        for (view in views) {
            if (version !in view.versions) continue
            requests += view.expectedRequests
            slots += view.slots
        }
        if (slots == 0) return null
        val pressure = requests.toDouble() / slots
        val rounds = 1.0 + (pressure - 1.0).coerceAtLeast(0.0)
        return Pool(pressure, answerTimes.expected(version, tokens) * rounds)
    }
}
