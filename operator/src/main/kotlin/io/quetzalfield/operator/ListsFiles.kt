package io.quetzalfield.operator

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.quetzalfield.model.ClientPlanList
import io.quetzalfield.model.ListsFault
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.ModelList
import io.quetzalfield.model.OperatorLists
import io.quetzalfield.model.validateLists
import io.quetzalfield.support.LoadedYaml
import io.quetzalfield.support.SettingsError
import io.quetzalfield.support.SettingsFault
import io.quetzalfield.support.loadLocatedYaml
import java.nio.file.Path

/** The two files of the lists that operators edit. */
public data class ListsFiles(val plans: Path, val models: Path)

/** The top-level keys of the file of the models. */
private val modelListParts = listOf("models", "services", "permissions")

/** Reads and validates both files into lists at [revision]. Errors name the file, the line and the reason. */
public fun ListsFiles.load(revision: ListsRevision): Either<List<SettingsError>, OperatorLists> {
    val planList = loadLocatedYaml(plans, ClientPlanList.serializer())
    val modelList = loadLocatedYaml(models, ModelList.serializer())
    val unreadable = planList.leftOrNull().orEmpty() + modelList.leftOrNull().orEmpty()
    if (planList !is Either.Right || modelList !is Either.Right) return unreadable.left()
    val lists = OperatorLists(revision, planList.value.value, modelList.value.value)
    val faults = validateLists(lists).map { it.locate(planList.value, modelList.value) }
    return if (faults.isEmpty()) lists.right() else faults.left()
}

private fun ListsFault.locate(plans: LoadedYaml<*>, models: LoadedYaml<*>): SettingsError {
    val part = path.substringBefore('[').substringBefore('.')
    val file = if (part in modelListParts) models else plans
    return file.locate(SettingsFault(path, found, allowed))
}
