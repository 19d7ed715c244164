package io.quetzalfield.steward.rollouts

import io.quetzalfield.decision.RolloutAction
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.ModelVersion
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.OperatorLists
import io.quetzalfield.model.VersionState
import io.quetzalfield.model.validateLists

/**
 * The lists after [action] on [version], at the next revision; `null` when nothing changes.
 *
 * A stopped version is withdrawn, so that its sessions end with a refusal instead of going on with bad answers. When
 * that would leave a plan without a serving version, it keeps serving with a share of 0, which withholds it all the
 * same.
 */
internal fun OperatorLists.after(action: RolloutAction, version: ModelVersionReference): OperatorLists? =
    when (action) {
        RolloutAction.Stay -> null

        is RolloutAction.Advance -> changing(version) { it.copy(newSessionShare = action.share) }

        RolloutAction.RollBack -> changing(version) { it.copy(newSessionShare = 0.0) }

        is RolloutAction.Stop ->
            changing(version) { it.copy(state = VersionState.WITHDRAWN, newSessionShare = null) }
                .takeIf { validateLists(it).isEmpty() }
                ?: changing(version) { it.copy(newSessionShare = 0.0) }.takeIf { it.models != models }
    }

private fun OperatorLists.changing(
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
