package io.quetzalfield.operator

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.quetzalfield.model.ClientPlanList
import io.quetzalfield.model.ListsFault
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.ModelList
import io.quetzalfield.model.OperatorLists
import io.quetzalfield.model.validateLists
import io.quetzalfield.support.SettingsError
import io.quetzalfield.support.loadYaml
import java.nio.file.Path

/** The two files that operators edit. */
public data class ListsFiles(val plans: Path, val models: Path)

/** Reads and checks both files; the lists get revision [revision]. */
public fun ListsFiles.load(revision: ListsRevision): Either<List<String>, OperatorLists> =
    loadYaml(plans, ClientPlanList.serializer()).mapErrors().flatMap { planList ->
        loadYaml(models, ModelList.serializer()).mapErrors().flatMap { modelList ->
            checked(OperatorLists(revision, planList, modelList))
        }
    }

private fun checked(lists: OperatorLists): Either<List<String>, OperatorLists> {
    val faults = validateLists(lists)
    return if (faults.isEmpty()) lists.right() else faults.map(ListsFault::toString).left()
}

private fun <T> Either<List<SettingsError>, T>.mapErrors(): Either<List<String>, T> =
    mapLeft { errors -> errors.map(SettingsError::toString) }
