package io.quetzalfield.decision

import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.PlanId
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.model.VersionState

/**
 * Checks for the last time, before a request is sent to a runner, that it may use [version]. Deliberately independent
 * of the chooser: a fault in the choice must not send a request to a version that its plan does not allow, or that gets
 * no new work.
 *
 * @param isOnVersion whether the request belongs to a session that already uses [version].
 * @return the reason why the request must not be sent; `null` if it may be sent.
 */
public fun checkPermission(
    snapshot: ListsSnapshot,
    plan: PlanId,
    version: ModelVersionReference,
    isOnVersion: Boolean,
): NotRun? {
    if (version !in snapshot.allowedVersions(plan)) {
        return NotRun(RefusalReason.NOT_ALLOWED_BY_PLAN, "plan $plan does not allow $version")
    }
    val state = snapshot.version(version)?.state ?: VersionState.WITHDRAWN
    return when (state) {
        VersionState.SERVING -> null
        VersionState.DRAINING -> if (isOnVersion) null else withdrawn(version, "takes no new sessions")
        VersionState.WITHDRAWN -> withdrawn(version, "is withdrawn")
    }
}

private fun withdrawn(version: ModelVersionReference, problem: String): NotRun =
    NotRun(RefusalReason.VERSION_WITHDRAWN, "$version $problem; open a new session")
