package io.quetzalfield.decision

import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.ModelVersion
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.model.VersionState

/** A version that a request may be routed to. */
internal data class EligibleVersion(val reference: ModelVersionReference, val version: ModelVersion)

/** Lists the serving versions that the plan allows, that match the request and that are not in [excluded]. */
internal fun eligibleVersions(
    request: RouteRequest,
    snapshot: ListsSnapshot,
    excluded: Set<ModelVersionReference>,
): List<EligibleVersion> = snapshot.allowedVersions(request.plan.id)
    .filter { it !in excluded && request.requested.matches(it) }
    .mapNotNull { reference -> snapshot.version(reference)?.let { EligibleVersion(reference, it) } }
    .filter { it.version.state == VersionState.SERVING }

/** The refusal of a request without an eligible version. */
internal fun noEligibleVersion(request: RouteRequest): NotRun = NotRun(
    refusal = RefusalReason.NOT_ALLOWED_BY_PLAN,
    message = "plan ${request.plan.id} allows no serving version that matches the request",
)

private fun RequestedModel.matches(reference: ModelVersionReference): Boolean = when (this) {
    RequestedModel.Automatic -> true
    is RequestedModel.AnyVersion -> reference.model == model
    is RequestedModel.Exactly -> reference == version
}
