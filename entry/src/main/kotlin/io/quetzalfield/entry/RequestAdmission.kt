package io.quetzalfield.entry

import arrow.core.Either
import io.quetzalfield.decision.AdmissionControl
import io.quetzalfield.decision.AdmissionRequest
import io.quetzalfield.decision.Admitted
import io.quetzalfield.decision.RequestedModel
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.VersionState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Admits completions by what is known of the runners that could serve them. */
internal class RequestAdmission(
    private val control: AdmissionControl,
    private val loads: RunnerLoadTracker,
    private val answerTimes: AnswerTimes,
) {
    private class Pool(val pressure: Double, val expectedDuration: Duration)

    /** Admits [call], or says at once why not. */
    fun admit(call: CompletionCall): Either<NotRun, Admitted> {
        val pools = versionsFor(call).mapNotNull { pool(it, call.route.expectedTokens) }
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

    private fun pool(version: ModelVersionReference, tokens: Int): Pool? {
        val pressure = loads.pressure(version) ?: return null
        val answer = answerTimes.expected(version, tokens)
        val rounds = 1.0 + (pressure - 1.0).coerceAtLeast(0.0)
        return Pool(pressure, answer * rounds)
    }
}
