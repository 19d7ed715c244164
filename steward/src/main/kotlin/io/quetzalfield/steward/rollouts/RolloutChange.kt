package io.quetzalfield.steward.rollouts

import io.quetzalfield.decision.RolloutAction
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.ModelVersion
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.OperatorLists
import io.quetzalfield.model.VersionState
import io.quetzalfield.model.validateLists

/**
 * The lists after [action] on [version], at the next revision; `null` if nothing changes.
 *
 * A stopped version is withdrawn, so that its sessions end with a refusal instead of continuing with bad answers. If
 * that would leave a plan without a serving version, the version stays in service with a share of 0, so that it gets
 * no new sessions.
 */
internal fun OperatorLists.after(action: RolloutAction, version: ModelVersionReference): OperatorLists? =
    when (action) {
        RolloutAction.Stay -> null

        is RolloutAction.Advance -> changeVersion(version) { it.copy(newSessionShare = action.share) }

        RolloutAction.RollBack -> changeVersion(version) { it.copy(newSessionShare = 0.0) }

        is RolloutAction.Stop ->
            changeVersion(version) { it.copy(state = VersionState.WITHDRAWN, newSessionShare = null) }
                .takeIf { validateLists(it).isEmpty() }
                ?: changeVersion(version) { it.copy(newSessionShare = 0.0) }.takeIf { it.models != models }
    }

private fun OperatorLists.changeVersion(
    reference: ModelVersionReference,
    change: (ModelVersion) -> ModelVersion,
): OperatorLists {
    val changed = models.models.map { model ->
        if (model.id != reference.model) {
            model
        } else {
            model.copy(versions = model.versions.map { if (it.id == reference.version) change(it) else it })
        }
    }
    return copy(revision = ListsRevision(revision.value + 1), models = models.copy(models = changed))
}
