package io.quetzalfield.decision

import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.PlanId
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.model.VersionState

/**
 * The last check before a request is sent to a runner, apart from the chooser on purpose: a fault in the choice must
 * not send a request to a version that its plan does not allow, or that gets no new work.
 *
 * @param isOnVersion whether the request belongs to a session that is on [version] already.
 * @return why the request must not be sent, or `null`.
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

private fun withdrawn(version: ModelVersionReference, what: String): NotRun =
    NotRun(RefusalReason.VERSION_WITHDRAWN, "$version $what; open a new session")
